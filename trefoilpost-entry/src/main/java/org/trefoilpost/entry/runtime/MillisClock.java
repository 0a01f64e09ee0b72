package org.trefoilpost.entry.runtime;

/**
 * Clock with a resolution of milliseconds.
 */
@FunctionalInterface
public interface MillisClock {
    /**
     * Returns the current time.
     *
     * @return the milliseconds since 1970-01-01T00:00Z
     */
    long nowMillis();

    /**
     * Creates a clock that starts at the system time and never goes back, also if the system time is set back.
     *
     * @return the clock, not null
     */
    static MillisClock steady() {
        long startMillis = System.currentTimeMillis();
        long startNanos = System.nanoTime();
        return () -> startMillis + (System.nanoTime() - startNanos) / 1_000_000;
    }
}
