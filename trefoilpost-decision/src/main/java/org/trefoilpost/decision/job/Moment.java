package org.trefoilpost.decision.job;

/**
 * A point in time on the steady clock, which is monotonic, and on the wall clock.
 *
 * @param steadyMillis  the time of the steady clock in milliseconds, from an arbitrary origin
 * @param wallMillis  the wall-clock time in milliseconds since 1970, which may jump
 */
public record Moment(long steadyMillis, long wallMillis) {
    /**
     * Returns a moment that is later on both clocks.
     *
     * @param millis  the difference in milliseconds
     * @return the later moment, not null
     */
    public Moment plus(long millis) {
        return new Moment(steadyMillis + millis, wallMillis + millis);
    }
}
