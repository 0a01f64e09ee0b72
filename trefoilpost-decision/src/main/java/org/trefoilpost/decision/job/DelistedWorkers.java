package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The workers that the registry has ceased to list lately. One that is cut off from the registry only runs on, and an owner may have
 * started tasks there as long as the registry listed it, so that the next owner of its pool must expect runs on it of which the store
 * does not know yet.
 */
public final class DelistedWorkers {
    private final long retentionMillis;
    private final Map<String, DelistedWorker> workers = new HashMap<>();

    /**
     * Constructs a set without workers.
     *
     * @param timeouts  the timeouts, which tell for how long runs may go on, not null
     */
    public DelistedWorkers(PoolTimeouts timeouts) {
        this.retentionMillis = timeouts.maxForeignLeaseMillis();
    }

    /**
     * Applies that the registry lists a worker.
     *
     * @param worker  the identifier of the worker, not null
     */
    public void listed(String worker) {
        workers.remove(worker);
    }

    /**
     * Applies that the registry has ceased to list a worker.
     *
     * @param worker  the worker as last listed, not null
     * @param nowMillis  the present time on the steady clock, in milliseconds
     */
    public void removed(RegisteredWorker worker, long nowMillis) {
        workers.values().removeIf(former -> isOver(former, nowMillis));
        workers.put(worker.id(), new DelistedWorker(worker, nowMillis));
    }

    /**
     * Returns the workers of a pool that the registry has ceased to list and on which runs may go on.
     *
     * @param pool  the name of the pool, not null
     * @param nowMillis  the present time on the steady clock, in milliseconds
     * @return the workers, not null
     */
    public List<DelistedWorker> ofPool(String pool, long nowMillis) {
        List<DelistedWorker> matching = new ArrayList<>();
        for (DelistedWorker worker : workers.values()) {
            if (worker.registration().pool().equals(pool) && !isOver(worker, nowMillis)) {
                matching.add(worker);
            }
        }
        return matching;
    }

    private boolean isOver(DelistedWorker worker, long nowMillis) {
        return nowMillis - worker.sinceMillis() >= retentionMillis;
    }
}
