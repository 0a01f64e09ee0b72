package org.trefoilpost.decision.retry;

/**
 * The time at which a caller stops waiting, from which the time left for the next hop follows.
 */
public final class Deadline {
    /** The time reserved at each hop for returning the answer to the caller. */
    public static final long HOP_MARGIN_MILLIS = 5;

    private final long millis;

    private Deadline(long millis) {
        this.millis = millis;
    }

    /**
     * Obtains the deadline of a request that arrives now.
     *
     * @param remainingMillis  the time that the caller still waits, in milliseconds
     * @param nowMillis  the present time in milliseconds
     * @return the deadline, not null, at {@link Long#MAX_VALUE} if the sum overflows
     */
    public static Deadline after(long remainingMillis, long nowMillis) {
        long millis = nowMillis + remainingMillis;
        boolean overflow = remainingMillis > 0 && millis < nowMillis;
        return new Deadline(overflow ? Long.MAX_VALUE : millis);
    }

    /**
     * Returns the time at which the caller stops waiting.
     *
     * @return the time in milliseconds
     */
    public long millis() {
        return millis;
    }

    /**
     * Returns whether the caller no longer waits.
     *
     * @param nowMillis  the present time in milliseconds
     * @return true from the deadline on
     */
    public boolean passed(long nowMillis) {
        return nowMillis >= millis;
    }

    /**
     * Returns the time that the next hop may take.
     *
     * @param nowMillis  the present time in milliseconds
     * @return the time in milliseconds, 0 if nothing is left
     */
    public long remainingForNextHop(long nowMillis) {
        return passed(nowMillis) ? 0 : Math.max(0, millis - nowMillis - HOP_MARGIN_MILLIS);
    }

    /**
     * Returns the time at which the caller stops waiting.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "deadline " + millis;
    }
}
