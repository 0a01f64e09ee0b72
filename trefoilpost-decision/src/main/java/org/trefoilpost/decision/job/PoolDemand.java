package org.trefoilpost.decision.job;

import java.util.Map;

/**
 * How much a pool has to do, and what its workers do.
 *
 * @param neededMachines  how many machines the pool's work would fill now, running or waiting
 * @param workers  the workers by identifier, not null
 */
public record PoolDemand(double neededMachines, Map<String, WorkerUsage> workers) {
    /**
     * Constructs a load.
     */
    public PoolDemand {
        workers = Map.copyOf(workers);
    }

    /**
     * What a worker has to do.
     *
     * @param usedMillis  the share in use in thousandths of a core
     * @param lasting  true if a task that lasts runs there
     * @param empty  true if nothing runs there and nothing is in doubt
     * @param open  true if the worker takes work
     */
    public record WorkerUsage(long usedCpuMillis, boolean hasLongRunning, boolean empty, boolean acceptsWork) {}
}
