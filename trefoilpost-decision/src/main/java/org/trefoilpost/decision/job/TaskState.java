package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.List;

/**
 * What is known of a task.
 */
final class TaskState {
    final TaskId id;
    final StepState step;
    final List<Run> runs = new ArrayList<>(1);
    final FailedRuns failedRuns = new FailedRuns();
    boolean done;
    /** True while a run that an earlier owner started may go on out of sight. */
    boolean mayRunUnseen;

    int lastRun;
    String checkpoint = "";
    long blockedUntilMillis = Long.MIN_VALUE;
    long awaySinceMillis = Long.MIN_VALUE;

    TaskState(TaskId id, StepState step) {
        this.id = id;
        this.step = step;
    }

    /**
     * Returns whether a new run may be started at a time.
     */
    boolean startable(long nowMillis) {
        return !done && runs.isEmpty() && nowMillis >= blockedUntilMillis;
    }

    /**
     * Returns whether the task is fully at work, as its worker said lately.
     */
    boolean isAtWork(long nowMillis) {
        return runs.stream().anyMatch(run -> run.isAtWork() && run.worker.answersNow(nowMillis));
    }
}
