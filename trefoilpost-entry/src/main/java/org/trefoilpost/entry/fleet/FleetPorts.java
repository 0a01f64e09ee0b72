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
 * What the fleet's duty needs of the other duties and of the peers.
 */
public interface FleetPorts {
    /**
     * Replaces the workers of every pool on the request path.
     *
     * @param members  the workers by pool, not null
     */
    void replacePoolMembers(Map<PoolName, List<Worker>> members);

    /**
     * Takes workers out of the candidates on the request path, or puts them back.
     *
     * @param register  the register of leaving workers, not null
     */
    void updateLeavingWorkers(LeavingRegister register);

    /**
     * Returns the requests of this entry in flight, by worker.
     *
     * @return the requests at workers that have any, not null
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
     * Returns every entry that may have requests in flight.
     *
     * @return the entries, not null
     */
    Set<EntryId> possibleEntries();

    /**
     * Tells all peers of a cordon or an uncordon.
     *
     * @param cordon  the cordon, not null
     */
    void broadcastCordon(CordonChange cordon);

    /**
     * Tells a peer of a cordon, and asks how many requests it has in flight on the cordoned worker.
     *
     * @param peer  the peer, not null
     * @param cordon  the cordon, not null
     * @return the report, not null; fails if the peer can't be asked
     */
    CompletableFuture<DrainCount> queryDrainCount(EntryId peer, CordonChange cordon);

    /**
     * Tells a peer of an uncordon, and asks whether it gives the worker work again.
     *
     * @param peer  the peer, not null
     * @param cordon  the uncordon, not null
     * @param stoppedIncarnation  the worker's incarnation that was stopped, 0 if none was
     * @return true if the peer gives the worker work again; fails if the peer can't be asked
     */
    CompletableFuture<Boolean> requestUncordon(EntryId peer, CordonChange cordon, long stoppedIncarnation);

    /**
     * Returns whether the configuration in force was confirmed a short time ago; planned stops halt while it was not.
     *
     * @param nowMillis  the present time in milliseconds since 1970
     * @return true if it was
     */
    boolean isConfigurationFresh(long nowMillis);
}
