package org.trefoilpost.decision.job;

import java.util.Objects;
import org.trefoilpost.model.JobId;

/**
 * Tells the operators that a job is not expected to meet its deadline.
 */
public final class WarnDeadline implements JobAction {
    private final JobId job;

    private WarnDeadline(JobId job) {
        this.job = Objects.requireNonNull(job, "job");
    }

    /**
     * Obtains the value.
     *
     * @param job  the job, not null
     * @return the value, not null
     */
    public static WarnDeadline of(JobId job) {
        return new WarnDeadline(job);
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
        return "WarnDeadline " + job;
    }
}
