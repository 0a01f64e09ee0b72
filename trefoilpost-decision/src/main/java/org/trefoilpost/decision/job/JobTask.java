package org.trefoilpost.decision.job;

import java.util.Objects;
import org.trefoilpost.model.WorkerId;

/**
 * A task that holds resources of a worker.
 */
public final class JobTask {
    private final JobSpec spec;
    private final WorkerId worker;
    private final boolean ending;

    private JobTask(JobSpec spec, WorkerId worker, boolean ending) {
        this.spec = Objects.requireNonNull(spec, "spec");
        this.worker = Objects.requireNonNull(worker, "worker");
        this.ending = ending;
    }

    /**
     * Obtains the value.
     *
     * @param spec  the job, not null
     * @param worker  the worker, not null
     * @param ending  whether the task has been asked to end
     * @return the value, not null
     */
    public static JobTask of(JobSpec spec, WorkerId worker, boolean ending) {
        return new JobTask(spec, worker, ending);
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
     * Returns the worker.
     *
     * @return the worker, not null
     */
    public WorkerId worker() {
        return worker;
    }

    /**
     * Returns whether the task has been asked to end.
     *
     * @return true if the task has been asked to end
     */
    public boolean isEnding() {
        return ending;
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof JobTask other
                && other.spec.equals(spec)
                && other.worker.equals(worker)
                && other.ending == ending;
    }

    @Override
    public int hashCode() {
        return Objects.hash(spec, worker, ending);
    }

    /**
     * Returns the type and the fields.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "JobTask " + spec + " " + worker + " " + ending;
    }
}
