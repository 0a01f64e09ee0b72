package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.trefoilpost.decision.job.crash.CrashEvidence;

/**
 * Records under which tasks a worker has crashed.
 */
final class WorkerCrashes {
    private final PoolState state;

    WorkerCrashes(PoolState state) {
        this.state = state;
    }

    /**
     * Records the crash of a worker and returns the tasks that are now proved to crash their workers. The end of a worker
     * that drains is no crash. A worker that is being evacuated is moved only once it is empty, so one that ends with runs
     * has crashed; but it may have been reported empty to the owner of the machines by an earlier owner of the pool, so that
     * the crash is attributed to no job.
     *
     * @param ended  tells which of the worker's runs have ended with it
     */
    List<JobTaskState> record(PoolWorker worker, Predicate<Run> ended, Moment now) {
        List<JobTaskState> proved = new ArrayList<>();
        if (worker.registration.draining()) {
            return proved;
        }
        for (Run run : worker.runs.values()) {
            boolean counts = ended.test(run) && run.mayHaveStarted() && !run.hasSurvived();
            if (counts && record(run.task, run.number, worker, evidence(run, now), now)) {
                proved.add(run.task);
            }
        }
        for (JobDocumentCodec.RunLocation stored : worker.unreportedRuns) {
            JobTaskState task = state.task(stored.task().text());
            // The store may still name runs that had ended when the worker was emptied.
            boolean counts = task != null && !worker.evacuating;
            if (counts && record(task, stored.run(), worker, evidence(stored, worker), now)) {
                proved.add(task);
            }
        }
        state.forgetUnreportedRuns(worker);
        return proved;
    }

    private static CrashEvidence evidence(Run run, Moment now) {
        if (run.worker.evacuating) {
            return CrashEvidence.NONE;
        }
        long crashedByMillis = Math.min(run.worker.silentByMillis, now.steadyMillis());
        boolean soon = crashedByMillis - run.startedMillis <= CrashEvidence.RECENT_MILLIS;
        boolean onlyRecent = true;
        boolean alone = true;
        for (Run other : run.worker.runs.values()) {
            if (other.job() != run.job()) {
                onlyRecent &= other.isConfirmed() && !other.isRecent();
                alone &= other.hasSurvived();
            }
        }
        // An adopted run may be far older than this owner knows.
        boolean ageKnown = !run.adopted;
        return new CrashEvidence(run.isConfirmed(), ageKnown && run.isRecent(), ageKnown && soon, onlyRecent, alone);
    }

    private static CrashEvidence evidence(JobDocumentCodec.RunLocation stored, PoolWorker worker) {
        return CrashEvidence.ofStoredRun(worker.unreportedRuns.stream()
                .allMatch(other -> other.task().job().equals(stored.task().job())));
    }

    /**
     * Records a crash and returns whether the task is now proved to crash its workers.
     */
    private boolean record(JobTaskState task, int run, PoolWorker worker, CrashEvidence evidence, Moment now) {
        JobState job = task.step.occurrence.job;
        if (task.done || job.phase.ended()) {
            return false;
        }
        task.crashRecord = task.crashRecord.withCrash(evidence);
        task.crashedMillis = now.steadyMillis();
        job.crashChanges++;
        state.markDirty(job, now.steadyMillis(), true);
        state.actions.logDecision(Decision.failure("task-suspected")
                .with("job", task.id.job())
                .with("task", task.id.text())
                .with("run", run)
                .with("worker", worker.id)
                .with("crashes", task.crashRecord.crashes())
                .with("attributed", task.crashRecord.attributed())
                .with("confirmed", evidence.confirmed())
                .with("recent", evidence.recent())
                .with("soon", evidence.soon())
                .with("onlyRecent", evidence.onlyRecent())
                .with("alone", evidence.alone())
                .with("isolation", task.isolation().name()));
        return task.crashRecord.provesFault();
    }
}
