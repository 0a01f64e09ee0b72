package org.trefoilpost.decision.job;

import java.util.Set;
import org.trefoilpost.model.JobId;

/**
 * An operator cancels jobs.
 */
public final class JobsCancelled implements JobEvent {
    private final Set<JobId> jobs;

    private JobsCancelled(Set<JobId> jobs) {
        this.jobs = Set.copyOf(jobs);
    }

    /**
     * Obtains the value.
     *
     * @param jobs  the jobs, not null
     * @return the value, not null
     */
    public static JobsCancelled of(Set<JobId> jobs) {
        return new JobsCancelled(jobs);
    }

    /**
     * Returns the jobs.
     *
     * @return the jobs, not null
     */
    public Set<JobId> jobs() {
        return jobs;
    }

    /**
     * Returns the type and the fields.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "JobsCancelled " + jobs;
    }
}
