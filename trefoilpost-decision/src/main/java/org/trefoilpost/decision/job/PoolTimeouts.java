package org.trefoilpost.decision.job;

/**
 * The times that bound a pool's decisions.
 *
 * @param leaseMillis  how long workers may run tasks without being renewed, in milliseconds
 * @param keepEndedMillis  how long an ended job stays known, in milliseconds
 * @param leaveMillis  how long a draining worker serves at least, in milliseconds
 */
public record PoolTimeouts(long leaseMillis, long endedJobRetentionMillis, long minDrainMillis) {}
