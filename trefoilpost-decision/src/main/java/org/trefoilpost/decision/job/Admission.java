package org.trefoilpost.decision.job;

import java.util.OptionalLong;

/**
 * Decides whether a job that is handed in can still meet its objective.
 */
final class Admission {
    private static final long MIN_RETRY_MILLIS = 500;
    private static final long MAX_RETRY_MILLIS = 8_000;
    /** Wait in milliseconds up to which a job is taken that comes too late for its objective. */
    private static final long LATE_WAIT_MILLIS = 1_000;

    private final PoolState state;
    private final Objectives objectives;
    private final Backlog backlog;

    Admission(PoolState state, WorkerHealth health, Objectives objectives) {
        this.state = state;
        this.objectives = objectives;
        this.backlog = new Backlog(state, health, objectives);
    }

    /**
     * Returns whether a task of each step fits a worker that the pool has or had.
     */
    boolean fitsSomewhere(JobSpec spec) {
        if (state.slots.isEmpty()) {
            return true;
        }
        for (StepSpec step : spec.steps()) {
            boolean fits = state.slots.values().stream()
                    .anyMatch(slot ->
                            step.reservedDemand().fitsIn(slot.report.capacity()) && step.allows(slot.report.labels()));
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
        long shortMillis = objectives.latestStartsMillis(job)[0] < now.steadyMillis()
                ? (long) backlog.waitMillis(now) - LATE_WAIT_MILLIS
                : (long) backlog.shortageMillis(job, now);
        if (shortMillis <= 0 || backlog.startsAtOnce(job, now)) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(Math.min(MAX_RETRY_MILLIS, Math.max(MIN_RETRY_MILLIS, shortMillis)));
    }

    /**
     * Takes in that a job was cancelled, that the queues changed, or how many machines are on their way.
     */
    void changed() {
        backlog.forget();
    }

    /**
     * Takes in that a job was taken.
     */
    void taken(JobState job) {
        backlog.add(job);
    }
}
