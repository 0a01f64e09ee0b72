package org.trefoilpost.decision.job;

/**
 * The timeouts of a pool's scheduler.
 *
 * @param leaseMillis  the duration of a worker's lease, in milliseconds
 * @param maxLeaseMillis  the longest lease that a worker accepts, to which it shortens longer ones, in milliseconds
 * @param endedJobRetentionMillis  how long an ended job is retained, in milliseconds
 * @param minDrainMillis  the minimum time that a draining worker continues to run tasks, in milliseconds
 */
public record PoolTimeouts(long leaseMillis, long maxLeaseMillis, long endedJobRetentionMillis, long minDrainMillis) {
    /** Time that is added to the computed end of a lease that another owner may have granted. */
    static final long LEASE_END_MARGIN_MILLIS = 300;

    /**
     * Returns for how long a worker's runs may go on by leases that an owner grants which cannot reach the store.
     *
     * @return the time from the last moment at which the owner reached the store, in milliseconds
     */
    long maxForeignLeaseMillis() {
        long longestLeaseMillis = (long) (leaseMillis / WorkerLease.MIN_CLOCK_RATE);
        return PoolScheduler.ORDERS_WITHOUT_STORE_MILLIS + longestLeaseMillis + LEASE_END_MARGIN_MILLIS;
    }
}
