package org.trefoilpost.decision.job;

import java.util.Objects;
import org.trefoilpost.model.JobId;
import org.trefoilpost.model.WorkerId;

/**
 * A worker answered, or failed to answer, a call about a task.
 */
public final class TaskReported implements JobEvent {
    private final JobId job;
    private final WorkerId worker;
    private final long epoch;
    private final TaskCallKind call;
    private final TaskOutcome outcome;
    private final String checkpoint;
    private final TaskUsage usage;

    private TaskReported(
            JobId job,
            WorkerId worker,
            long epoch,
            TaskCallKind call,
            TaskOutcome outcome,
            String checkpoint,
            TaskUsage usage) {
        this.job = Objects.requireNonNull(job, "job");
        this.worker = Objects.requireNonNull(worker, "worker");
        this.epoch = epoch;
        this.call = Objects.requireNonNull(call, "call");
        this.outcome = Objects.requireNonNull(outcome, "outcome");
        this.checkpoint = Objects.requireNonNull(checkpoint, "checkpoint");
        this.usage = Objects.requireNonNull(usage, "usage");
    }

    /**
     * Obtains the value.
     *
     * @param job  the job, not null
     * @param worker  the worker, not null
     * @param epoch  the epoch of the lease
     * @param call  the call, not null
     * @param outcome  what was found, not null
     * @param checkpoint  the saved progress, empty if none, not null
     * @param usage  what the task uses, not null
     * @return the value, not null
     */
    public static TaskReported of(
            JobId job,
            WorkerId worker,
            long epoch,
            TaskCallKind call,
            TaskOutcome outcome,
            String checkpoint,
            TaskUsage usage) {
        return new TaskReported(job, worker, epoch, call, outcome, checkpoint, usage);
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
     * Returns the worker.
     *
     * @return the worker, not null
     */
    public WorkerId worker() {
        return worker;
    }

    /**
     * Returns the epoch of the lease.
     *
     * @return the epoch of the lease
     */
    public long epoch() {
        return epoch;
    }

    /**
     * Returns the call.
     *
     * @return the call, not null
     */
    public TaskCallKind call() {
        return call;
    }

    /**
     * Returns what was found.
     *
     * @return what was found, not null
     */
    public TaskOutcome outcome() {
        return outcome;
    }

    /**
     * Returns the saved progress, empty if none.
     *
     * @return the saved progress, empty if none, not null
     */
    public String checkpoint() {
        return checkpoint;
    }

    /**
     * Returns what the task uses.
     *
     * @return what the task uses, not null
     */
    public TaskUsage usage() {
        return usage;
    }

    /**
     * Returns the type and the fields.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "TaskReported " + job + " " + worker + " " + epoch + " " + call + " " + outcome + " " + checkpoint + " "
                + usage;
    }
}
