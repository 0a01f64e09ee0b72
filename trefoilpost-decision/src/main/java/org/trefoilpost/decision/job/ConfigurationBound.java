package org.trefoilpost.decision.job;

/**
 * The time within which a configuration that operators have written must be in force, and what an entry decides by it.
 *
 * @param applyMillis  the time after the write, in milliseconds, greater than 0
 */
public record ConfigurationBound(long applyMillis) {
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
     * @return the times with which the bound is kept though one watch gets no answer, not null
     */
    public WatchTimes watchTimes() {
        return WatchTimes.within(applyMillis);
    }

    /**
     * Returns whether the store has confirmed recently that there is no newer configuration. Otherwise a queue that the
     * configuration in force lacks may exist.
     *
     * @param confirmedMillis  the latest time for which the store has confirmed it, in milliseconds
     * @param nowMillis  the present time on the same clock, in milliseconds
     * @return false if a newer configuration may have to be in force by now
     */
    public boolean isConfirmed(long confirmedMillis, long nowMillis) {
        return nowMillis - confirmedMillis <= applyMillis;
    }
}
