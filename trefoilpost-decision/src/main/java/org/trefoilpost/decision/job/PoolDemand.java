package org.trefoilpost.decision.job;

import java.util.Map;

/**
 * The number of machines that a pool needs, and the usage of its workers.
 *
 * @param neededMachines  the number of machines that running, waiting and recently refused work would fill
 * @param workers  the workers by identifier, not null
 */
public record PoolDemand(double neededMachines, Map<String, WorkerUsage> workers) {
    /**
     * Constructs a demand with a copy of the map.
     */
    public PoolDemand {
        workers = Map.copyOf(workers);
    }

    /**
     * The usage of a worker.
     *
     * @param usedCpuMillis  the processor share in use, in thousandths of a core
     * @param hasLongRunning  true if a long-running task runs there
     * @param empty  true if the worker is fenced, has no runs, and has had all its run ends stored and acknowledged
     * @param acceptsWork  true if the worker accepts new tasks
     */
    public record WorkerUsage(long usedCpuMillis, boolean hasLongRunning, boolean empty, boolean acceptsWork) {}
}
