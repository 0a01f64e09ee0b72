package org.trefoilpost.entry.job;

/**
 * How long the answers of a service may take beyond the time that it says it needs, as observed. Used on one thread.
 */
final class ResponseAllowance {
    /** The allowance while answers come in time, which covers the network and short pauses of either side. */
    static final long MIN_MILLIS = 3_000;

    /** The largest allowance, after which a connection counts as broken in any case. */
    static final long MAX_MILLIS = 60_000;

    private long millis = MIN_MILLIS;

    /**
     * Returns the present allowance, in milliseconds.
     */
    long millis() {
        return millis;
    }

    /**
     * Records an answer.
     *
     * @param latenessMillis  the time that it took beyond the time that the service says it needs, in milliseconds
     */
    void answered(long latenessMillis) {
        millis = limit(2 * latenessMillis);
    }

    /**
     * Records that a call was given up. The service may still work on it, so the next answer may be later by that.
     */
    void unanswered() {
        millis = limit(2 * millis);
    }

    private static long limit(long wantedMillis) {
        return Math.max(MIN_MILLIS, Math.min(MAX_MILLIS, wantedMillis));
    }
}
