package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.List;

/**
 * The state of a task.
 */
final class JobTaskState {
    final TaskId id;
    final JobStepState step;
    final List<Run> runs = new ArrayList<>(1);
    final FailedRuns failedRuns = new FailedRuns();
    boolean done;
    /** True while a run that an earlier owner started may continue on a worker that has not reported it. */
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
     * Returns whether a new run may be started now.
     */
    boolean isStartable(long nowMillis) {
        return !done && runs.isEmpty() && nowMillis >= blockedUntilMillis;
    }

    /**
     * Returns whether a run of the task was fully ready in a recent answer of its worker.
     */
    boolean isReady(long nowMillis) {
        return runs.stream().anyMatch(run -> run.isReady() && run.worker.hasFreshAnswer(nowMillis));
    }
}
