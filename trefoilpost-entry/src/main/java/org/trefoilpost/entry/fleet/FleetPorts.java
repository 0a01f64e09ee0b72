package org.trefoilpost.entry.fleet;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.trefoilpost.decision.routing.LeavingRegister;
import org.trefoilpost.entry.peer.CordonChange;
import org.trefoilpost.model.EntryId;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.worker.Worker;

/**
 * The fleet service's access to the entry's other services and to the peers.
 */
public interface FleetPorts {
    /**
     * Replaces the members of every pool on the request path.
     *
     * @param members  the workers by pool, not null
     */
    void replacePoolMembers(Map<PoolName, List<Worker>> members);

    /**
     * Updates which workers the request path excludes from its candidates because they are cordoned.
     *
     * @param register  the cordons and uncordons by worker, not null
     */
    void updateLeavingWorkers(LeavingRegister register);

    /**
     * Returns the number of requests that this entry has in flight, by worker.
     *
     * @return the numbers, without workers that have no request in flight, not null
     */
    CompletableFuture<Map<WorkerId, Integer>> inFlight();

    /**
     * Returns the workers that this entry has ejected for their failures.
     *
     * @return the workers, not null
     */
    CompletableFuture<Set<WorkerId>> ejected();

    /**
     * Returns this entry and its live peers.
     *
     * @return the entries, not null
     */
    Set<EntryId> liveEntries();

    /**
     * Returns every entry that may have requests in flight, the live ones and those that are still registered.
     *
     * @return the entries, not null
     */
    Set<EntryId> possibleEntries();

    /**
     * Sends a cordon or an uncordon to all peers, without acknowledgement.
     *
     * @param cordon  the cordon or uncordon, not null
     */
    void broadcastCordon(CordonChange cordon);

    /**
     * Sends a cordon to a peer, and asks how many requests it has in flight on the cordoned worker.
     *
     * @param peer  the peer, not null
     * @param cordon  the cordon, not null
     * @return the count, not null; fails if the peer does not answer
     */
    CompletableFuture<DrainCount> queryDrainCount(EntryId peer, CordonChange cordon);

    /**
     * Sends an uncordon to a peer, and asks whether the peer sends requests to the worker again.
     *
     * @param peer  the peer, not null
     * @param cordon  the uncordon, not null
     * @param stoppedIncarnation  the worker's incarnation that was stopped, 0 if none was
     * @return true if the peer does; fails if the peer does not answer
     */
    CompletableFuture<Boolean> requestUncordon(EntryId peer, CordonChange cordon, long stoppedIncarnation);

    /**
     * Returns whether the configuration in force was confirmed recently. While it was not, this entry does not advance
     * plans, so that no planned stop begins.
     *
     * @param nowMillis  the current time in milliseconds since the Unix epoch
     * @return true if the configuration is not stale
     */
    boolean isConfigurationFresh(long nowMillis);
}
