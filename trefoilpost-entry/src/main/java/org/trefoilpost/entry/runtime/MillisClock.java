package org.trefoilpost.entry.runtime;

/**
 * Source of the present time.
 */
@FunctionalInterface
public interface MillisClock {
    /**
     * Returns the present time.
     *
     * @return the milliseconds since 1970-01-01T00:00Z
     */
    long nowMillis();

    /**
     * Obtains a clock that starts at the system's time and never goes back.
     *
     * @return the clock, not null
     */
    static MillisClock steady() {
        long wallMillis = System.currentTimeMillis();
        long nanos = System.nanoTime();
        return () -> wallMillis + (System.nanoTime() - nanos) / 1_000_000;
    }
}
