package org.trefoilpost.decision.job.team;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The mean part of a pool that each team has used in the last seconds; the weight of a past use falls exponentially.
 */
public final class RecentUse {
    private final double meanMillis;
    private final Map<String, Double> means = new HashMap<>();
    private OptionalLong recordedMillis = OptionalLong.empty();

    /**
     * Constructs a record without any use.
     *
     * @param meanMillis  the time over which the mean is taken, in milliseconds, greater than 0
     */
    public RecentUse(double meanMillis) {
        this.meanMillis = meanMillis;
    }

    /**
     * Records the present use of all teams.
     *
     * @param parts  the part of the pool that each team uses; a team that is missing is forgotten, not null
     * @param nowMillis  the present time in milliseconds
     */
    public void record(Map<String, Double> parts, long nowMillis) {
        // The use before the first record is not known and counts as none.
        double kept = Math.exp(-Math.max(0, nowMillis - recordedMillis.orElse(nowMillis)) / meanMillis);
        recordedMillis = OptionalLong.of(nowMillis);
        means.keySet().retainAll(parts.keySet());
        parts.forEach((team, part) -> means.merge(team, (1 - kept) * part, (mean, added) -> kept * mean + added));
    }

    /**
     * Returns the mean use of a team.
     *
     * @param team  the team's name, not null
     * @return the part of the pool, not negative
     */
    public double mean(String team) {
        return means.getOrDefault(team, 0.0);
    }
}
