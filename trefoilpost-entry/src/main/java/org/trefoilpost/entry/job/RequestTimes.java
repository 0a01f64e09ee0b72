package org.trefoilpost.entry.job;

import org.trefoilpost.decision.job.Moment;

/**
 * The times within which a caller's request is answered, from the time that the caller waits.
 */
final class RequestTimes {
    private static final long MIN_DEADLINE_MILLIS = 300;
    private static final long MAX_DEADLINE_MILLIS = 10_000;
    private static final long MAX_REPLY_MARGIN_MILLIS = 250;
    /** The deadline divided by this is reserved for the reply's way back to the caller, up to the maximum margin. */
    private static final long REPLY_MARGIN_DIVISOR = 5;

    private RequestTimes() {}

    /**
     * Returns until when all owners together may take, on the steady clock in milliseconds, so that the reply reaches the
     * caller in time.
     */
    static long ownerDeadlineMillis(long deadlineMillis, Moment now) {
        return now.steadyMillis() + bounded(deadlineMillis) - replyMarginMillis(deadlineMillis);
    }

    /**
     * Returns the time within which a request has its reply even if this entry does not handle it in time. Between the end
     * of the owners' time and that of the caller.
     */
    static long replyLimitMillis(long deadlineMillis) {
        return bounded(deadlineMillis) - replyMarginMillis(deadlineMillis) / 2;
    }

    private static long bounded(long deadlineMillis) {
        return Math.min(MAX_DEADLINE_MILLIS, Math.max(MIN_DEADLINE_MILLIS, deadlineMillis));
    }

    private static long replyMarginMillis(long deadlineMillis) {
        return Math.min(MAX_REPLY_MARGIN_MILLIS, bounded(deadlineMillis) / REPLY_MARGIN_DIVISOR);
    }
}
