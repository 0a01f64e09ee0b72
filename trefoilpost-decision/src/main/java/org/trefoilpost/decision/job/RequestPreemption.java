package org.trefoilpost.decision.job;

import java.util.Objects;
import org.trefoilpost.model.JobId;

/**
 * Asks the shard of another job to end the job's task with its progress saved.
 */
public final class RequestPreemption implements JobAction {
    private final JobId job;

    private RequestPreemption(JobId job) {
        this.job = Objects.requireNonNull(job, "job");
    }

    /**
     * Obtains the value.
     *
     * @param job  the job, not null
     * @return the value, not null
     */
    public static RequestPreemption of(JobId job) {
        return new RequestPreemption(job);
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
        return "RequestPreemption " + job;
    }
}
