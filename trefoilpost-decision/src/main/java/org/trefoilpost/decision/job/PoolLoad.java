package org.trefoilpost.decision.job;

import java.util.Map;

/**
 * How much a pool has to do and what it has for it.
 *
 * @param backlog  the work of ordinary tasks that is not done, in thousandths of a core times milliseconds
 * @param offered  the work of ordinary tasks that was handed in over the last second, taken or not, in the same unit
 * @param lasting  the share of tasks that last, in thousandths of a core
 * @param workers  the workers that can be given up or not, by identifier, not null
 */
public record PoolLoad(long backlog, long offered, long lasting, Map<String, WorkerLoad> workers) {
    /**
     * Constructs a load.
     */
    public PoolLoad {
        workers = Map.copyOf(workers);
    }

    /**
     * What a worker has to do.
     *
     * @param cpuMillis  the worker's size in thousandths of a core
     * @param usedMillis  the share in use in thousandths of a core
     * @param lasting  true if a task that lasts runs there
     * @param empty  true if nothing runs there and nothing is in doubt
     * @param open  true if the worker takes work
     */
    public record WorkerLoad(long cpuMillis, long usedMillis, boolean lasting, boolean empty, boolean open) {}
}
