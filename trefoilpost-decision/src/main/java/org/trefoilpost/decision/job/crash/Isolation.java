package org.trefoilpost.decision.job.crash;

/**
 * How far a task is kept apart from other jobs' tasks when it starts.
 */
public enum Isolation {
    /** The task starts like any other. */
    NONE(0, 0),
    /** For a short time before and after its start no task of another job starts on its worker, if there is one soon. */
    SEPARATE(CrashEvidence.RECENT_MILLIS, 700),
    /** Its worker runs no task of another job but those that have survived their start. */
    ALONE(CrashEvidence.SURVIVAL_MILLIS, Long.MAX_VALUE);

    private final long probationMillis;
    private final long patienceMillis;

    Isolation(long probationMillis, long patienceMillis) {
        this.probationMillis = probationMillis;
        this.patienceMillis = patienceMillis;
    }

    /**
     * Returns how long the worker must have run the task, as its answers show, before tasks of other jobs start there.
     *
     * @return the time in milliseconds
     */
    public long probationMillis() {
        return probationMillis;
    }

    /**
     * Returns how long the task waits for a worker that meets the isolation. It then starts like any other, as another
     * task may be the cause.
     *
     * @return the time in milliseconds, {@link Long#MAX_VALUE} if it waits for as long as it takes
     */
    public long patienceMillis() {
        return patienceMillis;
    }
}
