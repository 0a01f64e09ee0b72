package org.trefoilpost.decision.job;

import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.trefoilpost.model.JobId;

/**
 * The jobs of one shard, as the key-value service keeps them.
 */
public final class JobDocument {
    /** The format that this code writes. */
    public static final int FORMAT = 1;
    /** A shard without jobs. */
    public static final JobDocument EMPTY = new JobDocument(new TreeMap<>());

    private final SortedMap<JobId, Job> jobs;

    private JobDocument(SortedMap<JobId, Job> jobs) {
        this.jobs = Collections.unmodifiableSortedMap(jobs);
    }

    /**
     * Obtains a document.
     *
     * @param jobs  the jobs by their names, not null
     * @return the document, not null
     */
    public static JobDocument of(Map<JobId, Job> jobs) {
        return new JobDocument(new TreeMap<>(jobs));
    }

    /**
     * Returns the jobs.
     *
     * @return the jobs by their names, not null
     */
    public SortedMap<JobId, Job> jobs() {
        return jobs;
    }

    /**
     * Returns a job.
     *
     * @param job  the name of the job, not null
     * @return the job, not null, empty if it is not known
     */
    public Optional<Job> job(JobId job) {
        return Optional.ofNullable(jobs.get(job));
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof JobDocument other && other.jobs.equals(jobs);
    }

    @Override
    public int hashCode() {
        return jobs.hashCode();
    }

    /**
     * Returns the number of jobs.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return jobs.size() + " jobs";
    }
}
