package org.trefoilpost.decision.stop;

/**
 * The steps of a graceful stop, as times since it began.
 *
 * <p>At first the entry waits until it has left the balancer's rotation, and serves as before. Then it ends once each
 * request that it has read has an answer. Shortly before the process would be killed, the requests that are left get an
 * answer that says that they were not served, or that their outcome is unknown.
 */
public final class StopSchedule {
    /** Two probes a second apart without success end the rotation, and the second one needs some time to be answered. */
    private static final long ROTATION_EXIT_MILLIS = 2_200;

    /** Callers that use their connections all the time send a request, and get its answer, within this time. */
    private static final long ANNOUNCEMENT_MILLIS = 1_000;

    /** The time before the kill that is kept for the answers to the requests that are given up. */
    private static final long LAST_ANSWERS_MILLIS = 1_000;

    /** The time before the kill at which the process begins to end by itself, with time to write its log. */
    private static final long EXIT_MILLIS = 600;

    private static final int MAX_ROTATION_EXIT_DIVISOR = 2;

    private final long graceMillis;
    private final boolean inRotation;

    private StopSchedule(long graceMillis, boolean inRotation) {
        this.graceMillis = graceMillis;
        this.inRotation = inRotation;
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
        return new StopSchedule(graceMillis, true);
    }

    /**
     * Returns the schedule of an entry that is not in the balancer's rotation, so it need not wait to leave it.
     *
     * @return the schedule, not null
     */
    public StopSchedule withoutRotation() {
        return new StopSchedule(graceMillis, false);
    }

    /**
     * Returns when the entry is expected to have left the balancer's rotation; its listener stays open until then at least.
     *
     * @return the time since the stop began, in milliseconds, not negative
     */
    public long rotationExitMillis() {
        return inRotation ? Math.min(ROTATION_EXIT_MILLIS, graceMillis / MAX_ROTATION_EXIT_DIVISOR) : 0;
    }

    /**
     * Returns until when callers on open connections may be told, by the answers to their next requests, that their
     * connections close. Not only callers that the balancer sends have connections.
     *
     * @return the time since the stop began, in milliseconds, not negative
     */
    public long announcementMillis() {
        return Math.min(ANNOUNCEMENT_MILLIS, graceMillis / MAX_ROTATION_EXIT_DIVISOR);
    }

    /**
     * Returns when the requests that are still without an answer get one.
     *
     * @return the time since the stop began, in milliseconds, not before the entry has left the rotation
     */
    public long lastAnswersMillis() {
        return Math.max(rotationExitMillis(), graceMillis - LAST_ANSWERS_MILLIS);
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
        return "out of the rotation after " + rotationExitMillis() + " ms, last answers after " + lastAnswersMillis()
                + " ms, exit after " + exitMillis() + " ms";
    }
}
