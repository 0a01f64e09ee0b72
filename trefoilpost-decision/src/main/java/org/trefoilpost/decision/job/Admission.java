package org.trefoilpost.decision.job;

import java.util.OptionalLong;

/**
 * Decides whether a job that is handed in can still meet its objective.
 */
final class Admission {
    private static final long MIN_RETRY_MILLIS = 500;
    private static final long MAX_RETRY_MILLIS = 8_000;
    /** Share of a pool's processor time that placements reach while tasks wait. */
    private static final double USABLE_SHARE = 0.9;

    /** How far a machine counts that is on its way to the pool. */
    private static final double ARRIVING_SHARE = 0.5;

    private final PoolState state;
    private final WorkerHealth health;
    private final Objectives objectives;

    Admission(PoolState state, WorkerHealth health, Objectives objectives) {
        this.state = state;
        this.health = health;
        this.objectives = objectives;
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
                    .anyMatch(slot -> step.reservedDemand().fitsIn(slot.report.capacity())
                            && (step.requiredLabel().isEmpty()
                                    || slot.report.labels().contains(step.requiredLabel())));
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
        long capacity = Math.max(1, (long) (capacityMillis() * USABLE_SHARE));
        long workMillis = (backlog(now) + work(job)) / capacity;
        long objective = (long) (job.queue.stretch() * objectives.chainMillis(job, 0)) + job.queue.targetMillis();
        if (workMillis <= objective) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(Math.min(MAX_RETRY_MILLIS, Math.max(MIN_RETRY_MILLIS, workMillis - objective)));
    }

    /**
     * Returns the processor share of the pool that ordinary tasks can use, in thousandths of a core.
     */
    private long capacityMillis() {
        long capacity = 0;
        long largest = 0;
        for (WorkerSlot slot : state.slots.values()) {
            largest = Math.max(largest, slot.report.capacity().cpuMillis());
            if (slot.listed && !slot.gone && !slot.evacuating && !slot.report.draining()) {
                capacity += slot.report.capacity().cpuMillis();
            }
            for (Run run : slot.runs.values()) {
                capacity -= run.task.step.spec.longRunning() ? run.reserved().cpuMillis() : 0;
            }
        }
        capacity += (long) (state.arrivingMachines * largest * ARRIVING_SHARE);
        return Math.max(0, capacity);
    }

    /**
     * Returns the work of ordinary tasks that can still be done in time, in thousandths of a core times milliseconds.
     */
    private long backlog(Moment now) {
        long work = 0;
        for (JobState job : state.openJobs.values()) {
            for (OccurrenceState occurrence : job.open()) {
                for (StepState step : occurrence.steps) {
                    boolean late = objectives.latestStartMillis(step, now) < now.steadyMillis();
                    if (!late && !step.spec.longRunning() && !step.spec.fills()) {
                        work += remaining(job, step);
                    }
                }
            }
        }
        return work;
    }

    private long work(JobState job) {
        long work = 0;
        for (StepSpec step : job.spec.steps()) {
            work += step.count() * step.demand().cpuMillis() * health.expectedMillis(job, step);
        }
        return work;
    }

    private long remaining(JobState job, StepState step) {
        long millis = health.expectedMillis(job, step.spec);
        double open = 0;
        for (TaskState task : step.tasks) {
            if (!task.done) {
                open += task.runs.isEmpty() ? 1 : 0.5;
            }
        }
        return (long) (open * millis * step.spec.demand().cpuMillis());
    }
}
