package org.trefoilpost.decision.job;

import java.util.OptionalLong;

/**
 * Decides whether a job that is handed in can still meet its objective.
 */
final class Admission {
    private static final long MIN_RETRY_AFTER_MILLIS = 500;
    private static final long MAX_RETRY_AFTER_MILLIS = 8_000;
    /** Wait in milliseconds up to which a job is taken that comes too late for its objective. */
    private static final long MAX_LATE_JOB_WAIT_MILLIS = 1_000;

    private final PoolState state;
    private final StartDeadlines startDeadlines;
    private final Backlog backlog;

    Admission(PoolState state, RunStatistics health, StartDeadlines objectives) {
        this.state = state;
        this.startDeadlines = objectives;
        this.backlog = new Backlog(state, health, objectives);
    }

    /**
     * Returns whether a task of each step fits a worker that the pool has or had.
     */
    boolean fitsAnyWorker(JobSpec spec) {
        if (state.workers.isEmpty()) {
            return true;
        }
        for (StepSpec step : spec.steps()) {
            boolean fits = state.workers.values().stream()
                    .anyMatch(slot -> step.reservedDemand().fitsIn(slot.registration.capacity())
                            && step.allowsLabels(slot.registration.labels()));
            if (!fits) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns when to come back with a job that would wait too long, empty if the job can be taken.
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
     * Takes in that a job was cancelled, that the queues changed, or how many machines are on their way.
     */
    void invalidateBacklog() {
        backlog.invalidate();
    }

    /**
     * Takes in that a job was taken.
     */
    void jobAccepted(JobState job) {
        backlog.add(job);
    }
}
