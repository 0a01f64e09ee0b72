package org.trefoilpost.decision.stop;

/**
 * The steps of a graceful stop, as times since it began.
 *
 * <p>At first the listener stays open, so that no caller is turned away before the entry has left the balancer's rotation.
 * Then the requests in progress have the rest of the time until shortly before the process would be killed: a request that
 * is still without an answer then is answered that it was not served, rather than that its connection is closed.
 */
public final class StopSchedule {
    /** Two probes a second apart without success end the rotation, and the second one needs some time to be answered. */
    private static final long ROTATION_EXIT_MILLIS = 2_200;

    /** The time before the kill that is kept for the answers to the requests that are given up. */
    private static final long LAST_ANSWERS_MILLIS = 1_000;

    /** The time before the kill at which the process ends by itself. */
    private static final long EXIT_MILLIS = 400;

    private static final int MAX_LISTENING_DIVISOR = 2;

    private final long graceMillis;

    private StopSchedule(long graceMillis) {
        this.graceMillis = graceMillis;
    }

    /**
     * Obtains the schedule for a stop.
     *
     * @param graceMillis  the time from the signal to stop until the process is killed, in milliseconds, not negative
     * @return the schedule, not null
     * @throws IllegalArgumentException if the time is negative
     */
    public static StopSchedule of(long graceMillis) {
        if (graceMillis < 0) {
            throw new IllegalArgumentException("grace time must not be negative: " + graceMillis);
        }
        return new StopSchedule(graceMillis);
    }

    /**
     * Returns when the listener closes. Requests that have been read by then are still served.
     *
     * @return the time since the stop began, in milliseconds, not negative
     */
    public long listenerCloseMillis() {
        return Math.min(ROTATION_EXIT_MILLIS, graceMillis / MAX_LISTENING_DIVISOR);
    }

    /**
     * Returns when the requests that are still without an answer get one.
     *
     * @return the time since the stop began, in milliseconds, not before the listener closes
     */
    public long lastAnswersMillis() {
        return Math.max(listenerCloseMillis(), graceMillis - LAST_ANSWERS_MILLIS);
    }

    /**
     * Returns when the process ends, even if an answer has not been written by then.
     *
     * @return the time since the stop began, in milliseconds, not before the last answers
     */
    public long exitMillis() {
        return Math.max(lastAnswersMillis(), graceMillis - EXIT_MILLIS);
    }

    @Override
    public String toString() {
        return "listener closes after " + listenerCloseMillis() + " ms, last answers after " + lastAnswersMillis()
                + " ms, exit after " + exitMillis() + " ms";
    }
}
