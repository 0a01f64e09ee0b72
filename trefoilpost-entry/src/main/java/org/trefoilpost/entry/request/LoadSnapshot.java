package org.trefoilpost.entry.request;

import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.TeamName;
import org.trefoilpost.model.WorkerId;

/**
 * The load that this entry puts on pools and quotas at one time, for its peers.
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
     * Returns the attempts in flight.
     *
     * @return the attempts at workers that have any, by pool, not null
     */
    public Map<PoolName, Map<WorkerId, Integer>> attemptsInFlight() {
        return attemptsInFlight;
    }

    /**
     * Returns the pools with attempts in flight or requests that wait.
     *
     * @return the pools, not null
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
     * Returns the requests that wait in a pool's queue.
     *
     * @param pool  the pool, not null
     * @return the requests, not negative
     */
    public int queuedRequests(PoolName pool) {
        return queuedRequests.getOrDefault(pool, 0);
    }

    /**
     * Returns the requests of each team.
     *
     * @return the requests, not null
     */
    public Map<TeamName, Integer> teamRequests() {
        return teamRequests;
    }
}
