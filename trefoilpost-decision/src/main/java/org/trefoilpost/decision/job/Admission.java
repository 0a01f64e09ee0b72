package org.trefoilpost.decision.job;

import java.util.OptionalLong;

/**
 * Decides whether a submitted job can be accepted without missing its objective or that of work accepted before.
 */
final class Admission {
    private static final long MIN_RETRY_AFTER_MILLIS = 500;
    private static final long MAX_RETRY_AFTER_MILLIS = 8_000;
    /** The longest backlog with which a job that has already missed its objective is still accepted. */
    private static final long MAX_LATE_JOB_WAIT_MILLIS = 1_000;

    private final PoolState state;
    private final StartDeadlines startDeadlines;
    private final Backlog backlog;

    Admission(PoolState state, RunStatistics runStatistics, StartDeadlines startDeadlines) {
        this.state = state;
        this.startDeadlines = startDeadlines;
        this.backlog = new Backlog(state, runStatistics, startDeadlines);
    }

    /**
     * Returns whether a task of each step fits the total capacity of a known worker; true while no worker is known.
     */
    boolean fitsAnyWorker(JobSpec spec) {
        if (state.workers.isEmpty()) {
            return true;
        }
        for (StepSpec step : spec.steps()) {
            boolean fits = state.workers.values().stream()
                    .anyMatch(worker -> step.reservedDemand().fitsIn(worker.registration.capacity())
                            && step.allowsLabels(worker.registration.labels()));
            if (!fits) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns the delay in milliseconds after which to submit a job again, empty if the job can be accepted now.
     */
    OptionalLong retryAfterMillis(JobState job, Moment now) {
        if (job.spec.longRunning() || job.spec.schedule().timed()) {
            return OptionalLong.empty();
        }
        long shortMillis = startDeadlines.latestStartsMillis(job)[0] < now.steadyMillis()
                ? (long) backlog.waitMillis(now) - MAX_LATE_JOB_WAIT_MILLIS
                : (long) backlog.shortageMillis(job, now);
        if (shortMillis <= 0 || backlog.startsImmediately(job, now)) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(Math.min(MAX_RETRY_AFTER_MILLIS, Math.max(MIN_RETRY_AFTER_MILLIS, shortMillis)));
    }

    /**
     * Discards the cached backlog after a cancellation, a change of the queues or of the number of arriving machines.
     */
    void invalidateBacklog() {
        backlog.invalidate();
    }

    /**
     * Adds the work of a job that was accepted to the backlog.
     */
    void jobAccepted(JobState job) {
        backlog.add(job);
    }
}
