package org.trefoilpost.decision.job;

/**
 * The number of a pool's workers and their capacity. Immutable.
 *
 * @param capacity  the sum of the workers' capacities, not null
 * @param workers  the number of workers, not negative
 */
record PoolSize(ResourceAmount capacity, int workers) {
    /** The size of a pool without workers. */
    static final PoolSize NONE = new PoolSize(ResourceAmount.NONE, 0);

    /** Share of a machine that placements use before further tasks no longer fit. */
    private static final double USABLE_MACHINE_SHARE = 0.85;

    /**
     * Returns the size with one more worker.
     *
     * @param workerCapacity  the capacity of the worker, not null
     * @return the new size, not null
     */
    PoolSize plusWorker(ResourceAmount workerCapacity) {
        return new PoolSize(capacity.plus(workerCapacity), workers + 1);
    }

    /**
     * Returns how many workers of the mean size an amount fills; at most one if the pool has no workers.
     *
     * @param amount  the amount, not null
     * @return the number of workers, may be fractional
     */
    double machinesFor(ResourceAmount amount) {
        if (workers == 0 || capacity.cpuMillis() == 0 || capacity.memoryMb() == 0) {
            return amount.cpuMillis() > 0 ? 1 : 0;
        }
        double cpuShare = (double) amount.cpuMillis() / capacity.cpuMillis();
        double memoryShare = (double) amount.memoryMb() / capacity.memoryMb();
        return Math.max(cpuShare, memoryShare) * workers / USABLE_MACHINE_SHARE;
    }
}
