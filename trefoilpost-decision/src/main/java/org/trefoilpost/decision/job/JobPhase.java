package org.trefoilpost.decision.job;

import java.util.Locale;

/**
 * Where a job stands.
 */
public enum JobPhase {
    /** The job waits for a worker. */
    WAITING,
    /** A worker has, or may have, the job's task under a lease. */
    LEASED,
    /** The task is to save its progress and to end; the job resumes elsewhere. */
    CHECKPOINTING,
    /** The job is cancelled, and its task may still run. */
    STOPPING,
    /** The job has finished. */
    DONE,
    /** The job failed on several workers and is not tried again. */
    FAILED,
    /** The job is cancelled, and nothing of it runs. */
    CANCELLED;
    /**
     * Returns the code in documents and answers.
     *
     * @return the code, not null
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
