package org.trefoilpost.decision.job;

import java.util.Objects;

/**
 * A caller submits a job.
 */
public final class JobSubmitted implements JobEvent {
    private final JobSpec spec;

    private JobSubmitted(JobSpec spec) {
        this.spec = Objects.requireNonNull(spec, "spec");
    }

    /**
     * Obtains the value.
     *
     * @param spec  the job, not null
     * @return the value, not null
     */
    public static JobSubmitted of(JobSpec spec) {
        return new JobSubmitted(spec);
    }

    /**
     * Returns the job.
     *
     * @return the job, not null
     */
    public JobSpec spec() {
        return spec;
    }

    /**
     * Returns the type and the fields.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "JobSubmitted " + spec;
    }
}
