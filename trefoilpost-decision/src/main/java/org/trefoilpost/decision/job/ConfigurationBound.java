package org.trefoilpost.decision.job;

import java.util.OptionalLong;

/**
 * The time within which a configuration that operators have written must be in force, and what an entry decides by it.
 *
 * @param applyMillis  the time after the write, in milliseconds, greater than 0
 */
public record ConfigurationBound(long applyMillis) {
    private static final long WAITS_PER_BOUND = 4;

    /**
     * Constructs a bound.
     *
     * @throws IllegalArgumentException if the time is not greater than 0
     */
    public ConfigurationBound {
        if (applyMillis <= 0) {
            throw new IllegalArgumentException("the time must be greater than 0, not " + applyMillis);
        }
    }

    /**
     * Returns the times of the watch of the configuration.
     *
     * @return the times with which the bound is kept though one watch gets no answer; the wait leaves most of the bound for
     *     slow answers and a busy machine, as an older confirmation has requests refused, not null
     */
    public WatchTimes watchTimes() {
        WatchTimes times = WatchTimes.within(applyMillis);
        long waitMillis = Math.min(times.waitMillis(), applyMillis / WAITS_PER_BOUND);
        return new WatchTimes(waitMillis, times.timeoutMillis());
    }

    /**
     * Returns whether it was certain recently that there was no newer configuration. Otherwise a queue or a key that the
     * configuration in force has may have been removed, and one that it lacks may exist.
     *
     * @param confirmedAgeMillis  the age of the latest confirmation in milliseconds, empty if there is none, not null
     * @return false if a newer configuration may have to be in force by now
     */
    public boolean isConfirmed(OptionalLong confirmedAgeMillis) {
        return confirmedAgeMillis.isPresent() && confirmedAgeMillis.getAsLong() <= applyMillis;
    }
}
