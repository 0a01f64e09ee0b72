package org.trefoilpost.model.configuration;

import java.util.Objects;
import org.trefoilpost.model.TeamName;

/**
 * The limits on the requests in flight and the job resources of one team.
 */
public final class TeamQuota {
    private final TeamName team;
    private final int concurrentRequests;
    private final int cores;
    private final int accelerators;

    private TeamQuota(TeamName team, int concurrentRequests, int cores, int accelerators) {
        this.team = team;
        this.concurrentRequests = concurrentRequests;
        this.cores = cores;
        this.accelerators = accelerators;
    }

    /**
     * Obtains a quota of a team.
     *
     * @param team  the team, not null
     * @param concurrentRequests  the maximum number of requests in flight, not negative
     * @param cores  the maximum number of processor cores in use by its jobs, not negative
     * @param accelerators  the maximum number of accelerators in use by its jobs, not negative
     * @return the quota, not null
     * @throws IllegalArgumentException if a limit is negative
     */
    public static TeamQuota of(TeamName team, int concurrentRequests, int cores, int accelerators) {
        Objects.requireNonNull(team, "team");
        if (concurrentRequests < 0 || cores < 0 || accelerators < 0) {
            throw new IllegalArgumentException("limits of a team must not be negative: " + concurrentRequests
                    + " requests, " + cores + " cores, " + accelerators + " accelerators");
        }
        return new TeamQuota(team, concurrentRequests, cores, accelerators);
    }

    /**
     * Returns the team to which the quota applies.
     *
     * @return the name of the team, not null
     */
    public TeamName team() {
        return team;
    }

    /**
     * Returns the maximum number of requests in flight.
     *
     * @return the limit, not negative
     */
    public int concurrentRequests() {
        return concurrentRequests;
    }

    /**
     * Returns the maximum number of processor cores in use by the team's jobs.
     *
     * @return the limit, not negative
     */
    public int cores() {
        return cores;
    }

    /**
     * Returns the maximum number of accelerators in use by the team's jobs.
     *
     * @return the limit, not negative
     */
    public int accelerators() {
        return accelerators;
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof TeamQuota other
                && other.team.equals(team)
                && other.concurrentRequests == concurrentRequests
                && other.cores == cores
                && other.accelerators == accelerators;
    }

    @Override
    public int hashCode() {
        return Objects.hash(team, concurrentRequests, cores, accelerators);
    }

    /**
     * Returns the team and its limits.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return team + ": " + concurrentRequests + " requests, " + cores + " cores, " + accelerators + " accelerators";
    }
}
