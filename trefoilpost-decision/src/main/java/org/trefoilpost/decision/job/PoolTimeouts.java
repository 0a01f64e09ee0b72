package org.trefoilpost.decision.job;

/**
 * The timeouts of a pool's scheduler.
 *
 * @param leaseMillis  the duration of a worker's lease, in milliseconds
 * @param maxLeaseMillis  the longest lease that a worker accepts, to which it shortens longer ones, in milliseconds
 * @param endedJobRetentionMillis  how long an ended job is retained, in milliseconds
 * @param minDrainMillis  the minimum time that a draining worker continues to run tasks, in milliseconds
 */
public record PoolTimeouts(long leaseMillis, long maxLeaseMillis, long endedJobRetentionMillis, long minDrainMillis) {}
