package org.trefoilpost.decision.job;

import java.util.HashMap;
import java.util.Map;

/**
 * A step of an occurrence of a job.
 */
final class JobStepState {
    /** The time of a step whose turn has not come. */
    static final long NOT_READY = Long.MAX_VALUE;

    final OccurrenceState occurrence;
    final int number;
    final StepSpec spec;
    final JobTaskState[] tasks;
    final FailedRuns failedGangs = new FailedRuns();
    final Map<String, Ticket> tickets = new HashMap<>();
    long readyMillis = NOT_READY;
    int doneTasks;
    long adviceRequestedMillis = Long.MIN_VALUE / 2;
    boolean adviceInFlight;
    long waitingLoggedMillis = Long.MIN_VALUE / 2;
    int adviceOffset;

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
     * Returns how many of the step's tasks are not at work, one task left out.
     */
    int notReadyTasksExcept(JobTaskState left, long nowMillis) {
        int away = 0;
        for (JobTaskState task : tasks) {
            away += task == left || task.isReady(nowMillis) ? 0 : 1;
        }
        return away;
    }

    String name() {
        return occurrence.job.spec.id() + '.' + occurrence.number + '.' + number;
    }

    /**
     * Permission to run a step on a worker.
     */
    record Ticket(String text, long expiryMillis) {}
}
