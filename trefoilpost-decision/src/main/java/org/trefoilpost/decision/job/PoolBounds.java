package org.trefoilpost.decision.job;

/**
 * The times that bound a pool's decisions.
 *
 * @param leaseMillis  how long workers may run tasks without being renewed, in milliseconds
 * @param stopMillis  how long a worker takes at most to stop a task, in milliseconds
 * @param keepEndedMillis  how long an ended job stays known, in milliseconds
 * @param noticeMillis  how long a task that lasts may be away before it counts as missing, in milliseconds
 * @param leaveMillis  how long a draining worker serves at least, in milliseconds
 * @param harmMillis  how long a serving task may be over its target, in milliseconds
 * @param crossRackFactor  how many times as long a task takes away from its rack
 */
public record PoolBounds(
        long leaseMillis,
        long stopMillis,
        long keepEndedMillis,
        long noticeMillis,
        long leaveMillis,
        long harmMillis,
        double crossRackFactor) {}
