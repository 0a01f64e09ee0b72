package org.trefoilpost.decision.job;

/**
 * How far a job is.
 */
public enum JobPhase {
    /** No task has started. */
    QUEUED,
    /** A task has started. */
    RUNNING,
    /** All tasks have ended well. */
    COMPLETED,
    /** A task has failed as often as its queue allows. */
    FAILED,
    /** The caller has cancelled the job. */
    CANCELLED;

    /**
     * Returns whether a job in this phase starts no more tasks.
     *
     * @return true if it does not
     */
    public boolean ended() {
        return this == COMPLETED || this == FAILED || this == CANCELLED;
    }
}
