package org.trefoilpost.entry.request;

import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.TeamName;
import org.trefoilpost.model.WorkerId;

/**
 * An immutable snapshot of the load that this entry puts on pools and team quotas, which it reports to its peers.
 */
public final class LoadSnapshot {
    /** No load. */
    static final LoadSnapshot NONE = new LoadSnapshot(Map.of(), Map.of(), Map.of());

    private final Map<PoolName, Map<WorkerId, Integer>> attemptsInFlight;
    private final Map<PoolName, Integer> queuedRequests;
    private final Map<TeamName, Integer> teamRequests;

    private LoadSnapshot(
            Map<PoolName, Map<WorkerId, Integer>> inFlight,
            Map<PoolName, Integer> queued,
            Map<TeamName, Integer> teams) {
        this.attemptsInFlight = inFlight;
        this.queuedRequests = queued;
        this.teamRequests = teams;
    }

    static LoadSnapshot of(
            Map<PoolName, Map<WorkerId, Integer>> inFlight,
            Map<PoolName, Integer> queued,
            Map<TeamName, Integer> teams) {
        return new LoadSnapshot(Map.copyOf(inFlight), Map.copyOf(queued), Map.copyOf(teams));
    }

    /**
     * Returns the number of attempts in flight by pool and worker.
     *
     * @return the unmodifiable counts of the workers that have any, not null
     */
    public Map<PoolName, Map<WorkerId, Integer>> attemptsInFlight() {
        return attemptsInFlight;
    }

    /**
     * Returns the pools with attempts in flight or queued requests.
     *
     * @return the pools' names in their order, not null
     */
    public Set<PoolName> loadedPools() {
        Set<PoolName> loaded = new TreeSet<>(attemptsInFlight.keySet());
        queuedRequests.forEach((pool, requests) -> {
            if (requests > 0) {
                loaded.add(pool);
            }
        });
        return loaded;
    }

    /**
     * Returns the number of requests in a pool's queue.
     *
     * @param pool  the pool's name, not null
     * @return the number, not negative, 0 for an unknown pool
     */
    public int queuedRequests(PoolName pool) {
        return queuedRequests.getOrDefault(pool, 0);
    }

    /**
     * Returns the number of this entry's requests by team.
     *
     * @return the unmodifiable counts of all configured teams, not null
     */
    public Map<TeamName, Integer> teamRequests() {
        return teamRequests;
    }
}
