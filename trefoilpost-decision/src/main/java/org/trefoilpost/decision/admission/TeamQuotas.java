package org.trefoilpost.decision.admission;

import java.util.HashMap;
import java.util.Map;
import org.trefoilpost.model.EntryId;
import org.trefoilpost.model.TeamName;

/**
 * The concurrent requests that each team may have, counted over all entries as far as they reported.
 *
 * <p>A request counts from its arrival until its answer. A peer's count no longer counts when it is not reported again
 * in time. One thread owns the quotas.
 */
public final class TeamQuotas {
    private final long peerCountMaxAgeMillis;
    private final Map<TeamName, Integer> quotas = new HashMap<>();
    private final Map<TeamName, Integer> ownCounts = new HashMap<>();
    private final Map<TeamName, Map<EntryId, PeerCount>> peerCounts = new HashMap<>();

    private TeamQuotas(long peerCountMaxAgeMillis) {
        this.peerCountMaxAgeMillis = peerCountMaxAgeMillis;
    }

    /**
     * Obtains quotas that limit no team.
     *
     * @param peerCountMaxAgeMillis  the age at which a peer's count no longer counts, in milliseconds
     * @return the quotas, not null
     */
    public static TeamQuotas of(long peerCountMaxAgeMillis) {
        return new TeamQuotas(peerCountMaxAgeMillis);
    }

    /**
     * Replaces the quotas; a team without one is not limited.
     *
     * @param newQuotas  the concurrent requests of each team, not null
     */
    public void quotas(Map<TeamName, Integer> newQuotas) {
        quotas.clear();
        quotas.putAll(newQuotas);
    }

    /**
     * Records a peer's requests of a team.
     *
     * @param entry  the peer, not null
     * @param team  the team, not null
     * @param requests  the requests, not negative
     * @param nowMillis  the present time in milliseconds
     */
    public void peerRequests(EntryId entry, TeamName team, int requests, long nowMillis) {
        Map<EntryId, PeerCount> counts = peerCounts.computeIfAbsent(team, key -> new HashMap<>());
        if (requests > 0) {
            counts.put(entry, new PeerCount(requests, nowMillis));
        } else {
            counts.remove(entry);
        }
    }

    /**
     * Returns this entry's requests of a team, to be reported to peers.
     *
     * @param team  the team, not null
     * @return the requests, not negative
     */
    public int ownRequests(TeamName team) {
        return ownCounts.getOrDefault(team, 0);
    }

    /**
     * Returns whether a team may have one more request.
     *
     * @param team  the team, not null
     * @param nowMillis  the present time in milliseconds
     * @return true if the team has no quota or has not used it up
     */
    public boolean allows(TeamName team, long nowMillis) {
        Integer quota = quotas.get(team);
        return quota == null || ownRequests(team) + peerRequests(team, nowMillis) < quota;
    }

    void requestArrived(TeamName team) {
        ownCounts.merge(team, 1, Integer::sum);
    }

    void requestEnded(TeamName team) {
        ownCounts.computeIfPresent(team, (key, count) -> count > 1 ? count - 1 : null);
    }

    private int peerRequests(TeamName team, long nowMillis) {
        Map<EntryId, PeerCount> counts = peerCounts.getOrDefault(team, Map.of());
        int sum = 0;
        for (PeerCount count : counts.values()) {
            sum += nowMillis - count.reportedMillis < peerCountMaxAgeMillis ? count.requests : 0;
        }
        return sum;
    }

    /**
     * A peer's requests of a team.
     */
    private static final class PeerCount {
        private final int requests;
        private final long reportedMillis;

        private PeerCount(int requests, long reportedMillis) {
            this.requests = requests;
            this.reportedMillis = reportedMillis;
        }
    }
}
