package org.trefoilpost.decision.job;

/**
 * For how long a worker that answers gets no work, because runs have failed there or it has refused a start.
 */
final class WorkerSuspicion {
    /** Time after a suspicion in which no long-running task starts. */
    private static final long LONG_RUNNING_PAUSE_MILLIS = 3_000;

    private long refusedUntilMillis = Long.MIN_VALUE;
    private long suspectUntilMillis = Long.MIN_VALUE;
    private long suspectedMillis = Long.MIN_VALUE / 2;

    /**
     * Records that the worker has refused a start.
     */
    void refused(long nowMillis, long pauseMillis) {
        refusedUntilMillis = nowMillis + pauseMillis;
    }

    /**
     * Records that runs have failed on the worker.
     */
    void suspected(long nowMillis, long pauseMillis) {
        suspectUntilMillis = Math.max(suspectUntilMillis, nowMillis + pauseMillis);
        suspectedMillis = nowMillis;
    }

    /**
     * Returns whether the worker gets no work because of its runs.
     */
    boolean isSuspected(long nowMillis) {
        return nowMillis < suspectUntilMillis;
    }

    /**
     * Returns whether the worker gets no ordinary tasks.
     */
    boolean isPaused(long nowMillis) {
        return nowMillis < Math.max(suspectUntilMillis, refusedUntilMillis);
    }

    /**
     * Returns whether the worker gets no long-running tasks. A suspicion holds them off for a short time only, as they may wait for this
     * worker alone.
     */
    boolean isPausedForLongRunning(long nowMillis) {
        long untilMillis = Math.min(suspectUntilMillis, suspectedMillis + LONG_RUNNING_PAUSE_MILLIS);
        return nowMillis < Math.max(untilMillis, refusedUntilMillis);
    }
}
