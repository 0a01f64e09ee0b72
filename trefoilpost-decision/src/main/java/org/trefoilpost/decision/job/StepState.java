package org.trefoilpost.decision.job;

import java.util.HashMap;
import java.util.Map;

/**
 * A step of an occurrence of a job.
 */
final class StepState {
    /** The time of a step whose turn has not come. */
    static final long NOT_READY = Long.MAX_VALUE;

    final OccurrenceState occurrence;
    final int number;
    final StepSpec spec;
    final TaskState[] tasks;
    final FailedRuns failedGangs = new FailedRuns();
    final Map<String, Ticket> tickets = new HashMap<>();
    long readyMillis = NOT_READY;
    int done;
    long adviceAskedMillis = Long.MIN_VALUE / 2;
    boolean adviceInFlight;
    long explainedMillis = Long.MIN_VALUE / 2;
    int adviceOffset;

    StepState(OccurrenceState occurrence, int number, StepSpec spec) {
        this.occurrence = occurrence;
        this.number = number;
        this.spec = spec;
        this.tasks = new TaskState[spec.count()];
        for (int i = 0; i < tasks.length; i++) {
            tasks[i] = new TaskState(new TaskId(occurrence.job.spec.id(), occurrence.number, number, i), this);
        }
    }

    boolean ended() {
        return done == tasks.length;
    }

    /**
     * Returns how many of the step's tasks are not at work, one task left out.
     */
    int awayBesides(TaskState left, long nowMillis) {
        int away = 0;
        for (TaskState task : tasks) {
            away += task == left || task.isAtWork(nowMillis) ? 0 : 1;
        }
        return away;
    }

    String name() {
        return occurrence.job.spec.id() + '.' + occurrence.number + '.' + number;
    }

    /**
     * Permission to run a step on a worker.
     */
    record Ticket(String text, long validUntilMillis) {}
}
