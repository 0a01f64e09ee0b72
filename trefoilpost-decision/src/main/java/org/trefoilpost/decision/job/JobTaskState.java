package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.List;
import org.trefoilpost.decision.job.crash.CrashRecord;
import org.trefoilpost.decision.job.crash.Isolation;

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

    /** Runs of an earlier owner, as the store names them, whose worker has neither reported nor ended. */
    final List<JobDocumentCodec.RunLocation> unreportedRuns = new ArrayList<>(0);

    CrashRecord crashRecord = CrashRecord.NONE;
    /** When a worker last crashed under the task. */
    long crashedMillis = Long.MIN_VALUE / 2;

    int lastRunNumber;
    String checkpoint = "";
    long blockedUntilMillis = Long.MIN_VALUE;
    /** The number of runs that were stopped as they made no progress. */
    int stalledRuns;

    long notReadySinceMillis = Long.MIN_VALUE;
    /** When {@link LongRunningWaits} last saw the task running, {@link Long#MIN_VALUE} if never. */
    long lastRunningMillis = Long.MIN_VALUE;

    JobTaskState(TaskId id, JobStepState step) {
        this.id = id;
        this.step = step;
    }

    /**
     * Returns a task that only a worker names, of a job that is not known.
     */
    static JobTaskState unknown(String name, Moment now) {
        TaskId id = TaskId.parse(name).orElse(new TaskId(name, 0, 0, 0));
        StepSpec spec = StepSpec.builder().build();
        JobState job = new JobState(new JobSpec(id.job(), "", "", List.of(spec), JobSpec.Schedule.ONCE), null, now);
        job.phase = JobPhase.CANCELLED;
        return new JobTaskState(id, new JobStepState(new OccurrenceState(job, id.occurrence()), id.step(), spec));
    }

    /**
     * Returns how far the task is kept apart from those of other jobs.
     */
    Isolation isolation() {
        return crashRecord.isolation();
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
