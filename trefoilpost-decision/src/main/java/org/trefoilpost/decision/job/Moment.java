package org.trefoilpost.decision.job;

/**
 * The present time as two clocks show it.
 *
 * @param steadyMillis  the milliseconds of a clock that is never set, from an arbitrary start
 * @param wallMillis  the time of day in milliseconds since 1970, which may jump
 */
public record Moment(long steadyMillis, long wallMillis) {
    /**
     * Returns a moment that lies later on both clocks.
     *
     * @param millis  the distance in milliseconds
     * @return the later moment, not null
     */
    public Moment plus(long millis) {
        return new Moment(steadyMillis + millis, wallMillis + millis);
    }
}
