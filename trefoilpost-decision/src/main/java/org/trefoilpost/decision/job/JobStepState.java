package org.trefoilpost.decision.job;

import java.util.stream.Stream;
import org.trefoilpost.decision.job.crash.Isolation;

/**
 * The state of a step of an occurrence of a job.
 */
final class JobStepState {
    /** The value of {@link #readyMillis} for a step whose predecessors have not ended. */
    static final long NOT_READY = Long.MAX_VALUE;

    final OccurrenceState occurrence;
    final int number;
    final StepSpec spec;
    final JobTaskState[] tasks;
    final FailedRuns failedGangs = new FailedRuns();
    final StepAdvice advice = new StepAdvice();
    long readyMillis = NOT_READY;
    int doneTasks;
    long waitingLoggedMillis = Long.MIN_VALUE / 2;

    JobStepState(OccurrenceState occurrence, int number, StepSpec spec) {
        this.occurrence = occurrence;
        this.number = number;
        this.spec = spec;
        this.tasks = new JobTaskState[spec.count()];
        for (int i = 0; i < tasks.length; i++) {
            tasks[i] = new JobTaskState(new TaskId(occurrence.job.spec.id(), occurrence.number, number, i), this);
        }
    }

    boolean ended() {
        return doneTasks == tasks.length;
    }

    /**
     * Returns whether a task of the step has a run or is done.
     */
    boolean hasStarted() {
        return doneTasks > 0 || Stream.of(tasks).anyMatch(task -> !task.runs.isEmpty());
    }

    /**
     * Returns whether a worker has begun a task of the step, as far as its ends and checkpoints show.
     */
    boolean hasProgress() {
        return doneTasks > 0
                || failedGangs.count() > 0
                || Stream.of(tasks).anyMatch(task -> task.failedRuns.count() > 0 || !task.checkpoint.isEmpty());
    }

    /**
     * Returns how many tasks of the step are not ready, without counting one of them.
     */
    int notReadyTasksExcept(JobTaskState excluded, long nowMillis) {
        int notReady = 0;
        for (JobTaskState task : tasks) {
            notReady += task == excluded || task.isReady(nowMillis) ? 0 : 1;
        }
        return notReady;
    }

    String name() {
        return occurrence.job.spec.id() + '.' + occurrence.number + '.' + number;
    }

    /**
     * Returns the resources that the tasks without a run reserve once they start. No machines are asked for to run tasks that
     * may crash them.
     */
    ResourceAmount waitingDemand() {
        int waitingTasks = 0;
        for (JobTaskState task : tasks) {
            waitingTasks += !task.done && task.runs.isEmpty() && task.isolation() == Isolation.NONE ? 1 : 0;
        }
        return spec.reservedDemand().times(waitingTasks);
    }
}
