package org.trefoilpost.decision.job;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.trefoilpost.model.WorkerId;

/**
 * A job with its state as the shard's document keeps it.
 */
public final class Job {
    private final JobSpec spec;
    private final JobPhase phase;
    private final long epoch;
    private final Optional<JobLease> lease;
    private final Optional<String> checkpoint;
    private final Set<WorkerId> failedWorkers;
    private final String cause;
    private final long sinceMillis;

    private Job(
            JobSpec spec,
            JobPhase phase,
            long epoch,
            Optional<JobLease> lease,
            Optional<String> checkpoint,
            Set<WorkerId> failedWorkers,
            String cause,
            long sinceMillis) {
        this.spec = Objects.requireNonNull(spec, "spec");
        this.phase = Objects.requireNonNull(phase, "phase");
        this.epoch = epoch;
        this.lease = Objects.requireNonNull(lease, "lease");
        this.checkpoint = Objects.requireNonNull(checkpoint, "checkpoint");
        this.failedWorkers = Set.copyOf(failedWorkers);
        this.cause = Objects.requireNonNull(cause, "cause");
        this.sinceMillis = sinceMillis;
    }

    /**
     * Obtains the value.
     *
     * @param spec  what was submitted, not null
     * @param phase  where the job stands, not null
     * @param epoch  the newest epoch granted, 0 if none
     * @param lease  the lease in force, not null
     * @param checkpoint  the saved progress, not null
     * @param failedWorkers  the workers that failed the job, not null
     * @param cause  why the job stands where it does, empty if there is nothing to tell, not null
     * @param sinceMillis  when the job was submitted or, once it has ended, when it ended
     * @return the value, not null
     */
    public static Job of(
            JobSpec spec,
            JobPhase phase,
            long epoch,
            Optional<JobLease> lease,
            Optional<String> checkpoint,
            Set<WorkerId> failedWorkers,
            String cause,
            long sinceMillis) {
        return new Job(spec, phase, epoch, lease, checkpoint, failedWorkers, cause, sinceMillis);
    }

    /**
     * Returns what was submitted.
     *
     * @return what was submitted, not null
     */
    public JobSpec spec() {
        return spec;
    }

    /**
     * Returns where the job stands.
     *
     * @return where the job stands, not null
     */
    public JobPhase phase() {
        return phase;
    }

    /**
     * Returns the newest epoch granted, 0 if none.
     *
     * @return the newest epoch granted, 0 if none
     */
    public long epoch() {
        return epoch;
    }

    /**
     * Returns the lease in force.
     *
     * @return the lease in force, not null
     */
    public Optional<JobLease> lease() {
        return lease;
    }

    /**
     * Returns the saved progress.
     *
     * @return the saved progress, not null
     */
    public Optional<String> checkpoint() {
        return checkpoint;
    }

    /**
     * Returns the workers that failed the job.
     *
     * @return the workers that failed the job, not null
     */
    public Set<WorkerId> failedWorkers() {
        return failedWorkers;
    }

    /**
     * Returns why the job stands where it does, empty if there is nothing to tell.
     *
     * @return why the job stands where it does, empty if there is nothing to tell, not null
     */
    public String cause() {
        return cause;
    }

    /**
     * Returns when the job was submitted or, once it has ended, when it ended.
     *
     * @return when the job was submitted or, once it has ended, when it ended
     */
    public long sinceMillis() {
        return sinceMillis;
    }

    /**
     * Returns a copy with another value of: where the job stands.
     *
     * @param newPhase  where the job stands, not null
     * @return the copy, not null
     */
    public Job withPhase(JobPhase newPhase) {
        return new Job(spec, newPhase, epoch, lease, checkpoint, failedWorkers, cause, sinceMillis);
    }

    /**
     * Returns a copy with another value of: the newest epoch granted, 0 if none.
     *
     * @param newEpoch  the newest epoch granted, 0 if none
     * @return the copy, not null
     */
    public Job withEpoch(long newEpoch) {
        return new Job(spec, phase, newEpoch, lease, checkpoint, failedWorkers, cause, sinceMillis);
    }

    /**
     * Returns a copy with another value of: the lease in force.
     *
     * @param newLease  the lease in force, not null
     * @return the copy, not null
     */
    public Job withLease(Optional<JobLease> newLease) {
        return new Job(spec, phase, epoch, newLease, checkpoint, failedWorkers, cause, sinceMillis);
    }

    /**
     * Returns a copy with another value of: the saved progress.
     *
     * @param newCheckpoint  the saved progress, not null
     * @return the copy, not null
     */
    public Job withCheckpoint(Optional<String> newCheckpoint) {
        return new Job(spec, phase, epoch, lease, newCheckpoint, failedWorkers, cause, sinceMillis);
    }

    /**
     * Returns a copy with another value of: the workers that failed the job.
     *
     * @param newFailedWorkers  the workers that failed the job, not null
     * @return the copy, not null
     */
    public Job withFailedWorkers(Set<WorkerId> newFailedWorkers) {
        return new Job(spec, phase, epoch, lease, checkpoint, newFailedWorkers, cause, sinceMillis);
    }

    /**
     * Returns a copy with another value of: why the job stands where it does, empty if there is nothing to tell.
     *
     * @param newCause  why the job stands where it does, empty if there is nothing to tell, not null
     * @return the copy, not null
     */
    public Job withCause(String newCause) {
        return new Job(spec, phase, epoch, lease, checkpoint, failedWorkers, newCause, sinceMillis);
    }

    /**
     * Returns a copy with another value of: when the job was submitted or, once it has ended, when it ended.
     *
     * @param newSinceMillis  when the job was submitted or, once it has ended, when it ended
     * @return the copy, not null
     */
    public Job withSinceMillis(long newSinceMillis) {
        return new Job(spec, phase, epoch, lease, checkpoint, failedWorkers, cause, newSinceMillis);
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof Job other
                && other.spec.equals(spec)
                && other.phase.equals(phase)
                && other.epoch == epoch
                && other.lease.equals(lease)
                && other.checkpoint.equals(checkpoint)
                && other.failedWorkers.equals(failedWorkers)
                && other.cause.equals(cause)
                && other.sinceMillis == sinceMillis;
    }

    @Override
    public int hashCode() {
        return Objects.hash(spec, phase, epoch, lease, checkpoint, failedWorkers, cause, sinceMillis);
    }

    /**
     * Returns the type and the fields.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "Job " + spec + " " + phase + " " + epoch + " " + lease + " " + checkpoint + " " + failedWorkers + " "
                + cause + " " + sinceMillis;
    }
}
