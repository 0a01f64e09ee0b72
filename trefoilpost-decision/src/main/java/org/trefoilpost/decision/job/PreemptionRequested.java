package org.trefoilpost.decision.job;

import java.util.Objects;
import org.trefoilpost.model.JobId;

/**
 * Another shard needs the room that a job's task holds.
 */
public final class PreemptionRequested implements JobEvent {
    private final JobId job;

    private PreemptionRequested(JobId job) {
        this.job = Objects.requireNonNull(job, "job");
    }

    /**
     * Obtains the value.
     *
     * @param job  the job, not null
     * @return the value, not null
     */
    public static PreemptionRequested of(JobId job) {
        return new PreemptionRequested(job);
    }

    /**
     * Returns the job.
     *
     * @return the job, not null
     */
    public JobId job() {
        return job;
    }

    /**
     * Returns the type and the fields.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "PreemptionRequested " + job;
    }
}
