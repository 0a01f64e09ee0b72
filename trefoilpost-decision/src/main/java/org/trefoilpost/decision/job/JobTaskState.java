package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.List;

/**
 * What is known of a task.
 */
final class JobTaskState {
    final TaskId id;
    final JobStepState step;
    final List<Run> runs = new ArrayList<>(1);
    final FailedRuns failedRuns = new FailedRuns();
    boolean done;
    /** True while a run that an earlier owner started may go on out of sight. */
    boolean mayHaveUnseenRun;

    int lastRunNumber;
    String checkpoint = "";
    long blockedUntilMillis = Long.MIN_VALUE;
    long notReadySinceMillis = Long.MIN_VALUE;

    JobTaskState(TaskId id, JobStepState step) {
        this.id = id;
        this.step = step;
    }

    /**
     * Returns whether a new run may be started at a time.
     */
    boolean isStartable(long nowMillis) {
        return !done && runs.isEmpty() && nowMillis >= blockedUntilMillis;
    }

    /**
     * Returns whether the task is fully at work, as its worker said lately.
     */
    boolean isReady(long nowMillis) {
        return runs.stream().anyMatch(run -> run.isReady() && run.worker.hasFreshAnswer(nowMillis));
    }
}
