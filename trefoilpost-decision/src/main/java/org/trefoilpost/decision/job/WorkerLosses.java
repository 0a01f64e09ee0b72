package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Handles workers that have ended or whose runs have.
 */
final class WorkerLosses {
    private final PoolState state;
    private final WorkerCrashes crashes;
    private final JobEnds jobEnds;
    private final LeaseNotes leaseNotes;

    WorkerLosses(PoolState state, JobEnds jobEnds) {
        this.state = state;
        this.crashes = new WorkerCrashes(state);
        this.jobEnds = jobEnds;
        this.leaseNotes = new LeaseNotes(state);
    }

    /**
     * Records the crash of a worker, and ends the jobs whose tasks are now proved to crash their workers.
     *
     * @param ended  tells which of the worker's runs have ended with it
     */
    void workerCrashed(PoolWorker worker, Predicate<Run> ended, Moment now) {
        for (JobTaskState task : crashes.record(worker, ended, now)) {
            if (!task.step.occurrence.job.phase.ended()) {
                jobEnds.fail(
                        task,
                        "crashes-workers",
                        Map.of(
                                "crashes", task.crashRecord.crashes(),
                                "attributed", task.crashRecord.attributed(),
                                "worker", worker.id),
                        now);
            }
        }
    }

    /**
     * Handles the end of an incarnation of a worker, and with it of all its runs.
     */
    void workerEnded(PoolWorker worker, String reason, Moment now) {
        if (worker.ended) {
            return;
        }
        worker.ended = true;
        workerCrashed(worker, run -> !worker.isUnresolvedStart(run, now.steadyMillis()), now);
        boolean unresolved = state.unresolvedWorkers.contains(worker);
        releaseRuns(worker, reason, now);
        if (unresolved && worker.mayRestart() && now.steadyMillis() < state.foreignOrdersUntilMillis) {
            // It may restart under its identifier and then carry out an order of an earlier owner that is on its way.
            state.unresolvedWorkers.add(worker);
        }
    }

    /**
     * Handles that a worker will not start again under its identifier. Starts without an answer end with its present
     * incarnation then, or with the lease of that.
     */
    void workerGone(PoolWorker worker, GoneReason reason, Moment now) {
        boolean proved = reason != GoneReason.NOT_REGISTERED;
        if (worker.gone.isPresent() && !(proved && worker.mayReturn)) {
            return;
        }
        worker.gone = Optional.of(reason);
        worker.mayReturn = !proved;
        state.actions.logDecision(Decision.of("worker-gone")
                .with("worker", worker.id)
                .with("reason", reason.text())
                .with("ended", worker.ended)
                .with("runs", worker.runs.size())
                .with("answerAge", worker.answerAgeMillis(now.steadyMillis())));
        if (worker.ended) {
            releaseRuns(worker, reason.text(), now);
        }
    }

    /**
     * Handles that another worker answers at a worker's address. It rejects the orders that are on their way there.
     */
    void otherWorkerAnswered(PoolWorker worker, Moment now) {
        workerGone(worker, GoneReason.OTHER_LIFE, now);
        workerEnded(worker, GoneReason.OTHER_LIFE.text(), now);
    }

    /**
     * Removes the runs of a worker that are certain to have ended, so that their tasks can start again: all, except for
     * starts that the worker may still carry out after a restart.
     */
    void releaseRuns(PoolWorker worker, String reason, Moment now) {
        state.actions.logDecision(Decision.failure("worker-lost")
                .with("worker", worker.id)
                .with("reason", reason)
                .with("runs", worker.runs.size())
                .with("answerAge", worker.answerAgeMillis(now.steadyMillis()))
                .withIfPresent("silentFor", worker.silentForMillis(now.steadyMillis()))
                .with("listed", worker.listed)
                .with("unseenRuns", state.unresolvedWorkers.contains(worker)));
        for (Run run : new ArrayList<>(worker.runs.values())) {
            if (!worker.mayStillStart(run, now.steadyMillis())) {
                logRunLost(run, reason, now);
                worker.remove(run);
                run.task.notReadySinceMillis = Math.max(run.task.notReadySinceMillis, now.steadyMillis());
            }
        }
        leaseNotes.remove(worker, now.steadyMillis());
        state.forgetUnreportedRuns(worker);
        state.unresolvedWorkers.remove(worker);
        state.placementDue = true;
    }

    private void logRunLost(Run run, String reason, Moment now) {
        state.actions.logDecision(run.describe(Decision.failure("run-lost"))
                .with("reason", reason)
                .with("phase", run.phase.name())
                .with("age", now.steadyMillis() - run.startedMillis)
                .with("reportAge", run.reportAgeMillis)
                .with("ageAtLastAnswer", run.ageAtLastAnswerMillis()));
    }
}
