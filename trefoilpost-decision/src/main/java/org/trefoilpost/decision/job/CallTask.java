package org.trefoilpost.decision.job;

import java.util.Objects;
import java.util.Optional;

/**
 * Asks for a call to a worker about a task.
 */
public final class CallTask implements JobAction {
    private final TaskCallKind kind;
    private final JobSpec spec;
    private final JobLease lease;
    private final long leaseMillis;
    private final Optional<String> checkpoint;

    private CallTask(TaskCallKind kind, JobSpec spec, JobLease lease, long leaseMillis, Optional<String> checkpoint) {
        this.kind = Objects.requireNonNull(kind, "kind");
        this.spec = Objects.requireNonNull(spec, "spec");
        this.lease = Objects.requireNonNull(lease, "lease");
        this.leaseMillis = leaseMillis;
        this.checkpoint = Objects.requireNonNull(checkpoint, "checkpoint");
    }

    /**
     * Obtains the value.
     *
     * @param kind  the call, not null
     * @param spec  the job, not null
     * @param lease  the lease, not null
     * @param leaseMillis  the lease that the call asks the worker for, in milliseconds
     * @param checkpoint  the progress to resume from, not null
     * @return the value, not null
     */
    public static CallTask of(
            TaskCallKind kind, JobSpec spec, JobLease lease, long leaseMillis, Optional<String> checkpoint) {
        return new CallTask(kind, spec, lease, leaseMillis, checkpoint);
    }

    /**
     * Returns the call.
     *
     * @return the call, not null
     */
    public TaskCallKind kind() {
        return kind;
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
     * Returns the lease.
     *
     * @return the lease, not null
     */
    public JobLease lease() {
        return lease;
    }

    /**
     * Returns the lease that the call asks the worker for, in milliseconds.
     *
     * @return the lease that the call asks the worker for, in milliseconds
     */
    public long leaseMillis() {
        return leaseMillis;
    }

    /**
     * Returns the progress to resume from.
     *
     * @return the progress to resume from, not null
     */
    public Optional<String> checkpoint() {
        return checkpoint;
    }

    /**
     * Returns the type and the fields.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "CallTask " + kind + " " + spec + " " + lease + " " + leaseMillis + " " + checkpoint;
    }
}
