package org.trefoilpost.decision.job;

/**
 * The phase of a job.
 */
public enum JobPhase {
    /** No worker has said that it began a task, whether a task was ordered or not. */
    QUEUED,
    /** A worker has said that it began a task. */
    RUNNING,
    /** All tasks have completed. */
    COMPLETED,
    /** A task has reached the number of failures that its queue allows, or crashes the workers that start it. */
    FAILED,
    /** The caller has cancelled the job. */
    CANCELLED;

    /**
     * Returns whether a job in this phase has ended and starts no more tasks.
     *
     * @return true if the job has ended
     */
    public boolean ended() {
        return this == COMPLETED || this == FAILED || this == CANCELLED;
    }
}
