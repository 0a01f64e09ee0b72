package org.trefoilpost.decision.job;

import java.util.Objects;
import org.trefoilpost.model.WorkerId;

/**
 * A task lease: one epoch of a job on one worker, with the end that no call for it may pass.
 */
public final class JobLease {
    private final WorkerId worker;
    private final long incarnation;
    private final long epoch;
    private final String executor;
    private final long untilMillis;

    private JobLease(WorkerId worker, long incarnation, long epoch, String executor, long untilMillis) {
        this.worker = Objects.requireNonNull(worker, "worker");
        this.incarnation = incarnation;
        this.epoch = epoch;
        this.executor = Objects.requireNonNull(executor, "executor");
        this.untilMillis = untilMillis;
    }

    /**
     * Obtains the value.
     *
     * @param worker  the worker, not null
     * @param incarnation  the incarnation of the worker when the lease was granted
     * @param epoch  the epoch of the lease
     * @param executor  the name of the executor process that granted it, never reused, not null
     * @param untilMillis  the end of the grant, in milliseconds since 1970
     * @return the value, not null
     */
    public static JobLease of(WorkerId worker, long incarnation, long epoch, String executor, long untilMillis) {
        return new JobLease(worker, incarnation, epoch, executor, untilMillis);
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
     * Returns the incarnation of the worker when the lease was granted.
     *
     * @return the incarnation of the worker when the lease was granted
     */
    public long incarnation() {
        return incarnation;
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
     * Returns the name of the executor process that granted it, never reused.
     *
     * @return the name of the executor process that granted it, never reused, not null
     */
    public String executor() {
        return executor;
    }

    /**
     * Returns the end of the grant, in milliseconds since 1970.
     *
     * @return the end of the grant, in milliseconds since 1970
     */
    public long untilMillis() {
        return untilMillis;
    }

    /**
     * Returns a copy with another value of: the end of the grant, in milliseconds since 1970.
     *
     * @param newUntilMillis  the end of the grant, in milliseconds since 1970
     * @return the copy, not null
     */
    public JobLease withUntilMillis(long newUntilMillis) {
        return new JobLease(worker, incarnation, epoch, executor, newUntilMillis);
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof JobLease other
                && other.worker.equals(worker)
                && other.incarnation == incarnation
                && other.epoch == epoch
                && other.executor.equals(executor)
                && other.untilMillis == untilMillis;
    }

    @Override
    public int hashCode() {
        return Objects.hash(worker, incarnation, epoch, executor, untilMillis);
    }

    /**
     * Returns the type and the fields.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "JobLease " + worker + " " + incarnation + " " + epoch + " " + executor + " " + untilMillis;
    }
}
