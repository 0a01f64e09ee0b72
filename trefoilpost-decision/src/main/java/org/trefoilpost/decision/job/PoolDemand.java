package org.trefoilpost.decision.job;

import java.util.Map;
import java.util.Set;

/**
 * The number of machines that a pool needs, and the usage of its workers.
 *
 * @param neededMachines  the number of machines that running, waiting and recently refused work would fill
 * @param workers  the workers by identifier, not null
 * @param awaitedWorkers  the identifiers of the workers that the pool keeps even if it has more machines than it needs, as a
 *     waiting step is allowed there by placement advice or may be, not null
 */
public record PoolDemand(double neededMachines, Map<String, WorkerUsage> workers, Set<String> awaitedWorkers) {
    /**
     * Constructs a demand with copies of the map and the set.
     */
    public PoolDemand {
        workers = Map.copyOf(workers);
        awaitedWorkers = Set.copyOf(awaitedWorkers);
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
