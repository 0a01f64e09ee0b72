package org.trefoilpost.decision.job;

/**
 * How long a watch of the store waits for a change, and when it counts as unanswered. A watch that is not answered in
 * time is sent again early enough for a change that it would have shown to be applied within a bound.
 *
 * @param waitMillis  how long the store is asked to wait for a change, in milliseconds
 * @param timeoutMillis  how long the answer is awaited, in milliseconds
 */
public record WatchTimes(long waitMillis, long timeoutMillis) {
    /** The times of a watch for whose changes there is no closer bound, and of one to a store that answers late. */
    public static final WatchTimes LONGEST = new WatchTimes(2_500, 3_500);

    /** Time for the answer after the wait, in milliseconds. */
    private static final long ANSWER_MILLIS = 600;

    private static final long MIN_WAIT_MILLIS = 200;

    /** The part of the bound, in percent, after which a watch is sent again. */
    private static final long TIMEOUT_PERCENT = 70;

    /** So many watches without an answer show a store that answers late, as a lost connection costs only one. */
    private static final int UNANSWERED_UNTIL_SHORT_WAIT = 2;

    /**
     * Returns the times with which a change is applied within a bound, though one watch gets no answer.
     *
     * @param applyMillis  the time after a change within which it must be applied, in milliseconds
     * @return the times, not longer than the longest, not null
     */
    public static WatchTimes within(long applyMillis) {
        long timeoutMillis = Math.max(MIN_WAIT_MILLIS + ANSWER_MILLIS, applyMillis * TIMEOUT_PERCENT / 100);
        return timeoutMillis >= LONGEST.timeoutMillis
                ? LONGEST
                : new WatchTimes(timeoutMillis - ANSWER_MILLIS, timeoutMillis);
    }

    /**
     * Returns the times of the next watch. A store that answers late gets more time for its answer by a shorter wait: with
     * a longer timeout, a watch that was sent to a silent store would hide its return for longer than the bound allows.
     *
     * @param unanswered  how many watches in succession have had no answer, not negative
     * @return these times, or those with a short wait after several, not null
     */
    public WatchTimes afterUnanswered(int unanswered) {
        return unanswered < UNANSWERED_UNTIL_SHORT_WAIT || this.equals(LONGEST) ? this : withShortWait();
    }

    /**
     * Returns the times of a watch that is to confirm soon that there are no further changes.
     *
     * @return the times, with the same timeout, not null
     */
    public WatchTimes withShortWait() {
        return new WatchTimes(Math.min(waitMillis, MIN_WAIT_MILLIS), timeoutMillis);
    }
}
