package org.trefoilpost.decision.job;

/**
 * The time after which no task may be started beyond a smaller capacity of a worker: an interval of its reports, and the time
 * in which a report must be applied. The platform names both.
 *
 * @param applyMillis  the time in which a report must be applied, in milliseconds, greater than 0
 * @param reportIntervalMillis  the interval of the workers' reports, in milliseconds, not negative
 */
public record CapacityBound(long applyMillis, long reportIntervalMillis) {
    /**
     * Constructs a bound.
     *
     * @throws IllegalArgumentException if the time is not greater than 0 or the interval is negative
     */
    public CapacityBound {
        if (applyMillis <= 0 || reportIntervalMillis < 0) {
            throw new IllegalArgumentException("the time must be greater than 0 and the interval not negative, not "
                    + applyMillis + " and " + reportIntervalMillis);
        }
    }
}
