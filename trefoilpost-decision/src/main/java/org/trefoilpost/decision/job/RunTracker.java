package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.trefoilpost.decision.job.crash.CrashRecord;

/**
 * Updates runs, tasks and jobs from the answers of workers.
 */
final class RunTracker {
    private static final long REFUSAL_PAUSE_MILLIS = 500;
    private static final long NO_ROOM_PAUSE_MILLIS = 200;
    private static final long HOLD_DELAY_AFTER_ENDS_MILLIS = 40;
    private static final long HOLD_RETRY_MILLIS = 250;

    private final PoolState state;
    private final OrderSender orderSender;
    private final RunStatistics runStatistics;
    private final WorkerLosses workerLosses;
    private final JobEnds jobEnds;
    private final LeaseNotes leaseNotes;

    RunTracker(
            PoolState state,
            OrderSender orderSender,
            RunStatistics runStatistics,
            WorkerLosses workerLosses,
            JobEnds jobEnds) {
        this.state = state;
        this.orderSender = orderSender;
        this.runStatistics = runStatistics;
        this.workerLosses = workerLosses;
        this.jobEnds = jobEnds;
        this.leaseNotes = new LeaseNotes(state);
    }

    /**
     * Handles the outcome of a start.
     */
    void startAnswered(PoolWorker worker, TaskId task, int number, OrderResult result, Moment now) {
        worker.startsInFlight = Math.max(0, worker.startsInFlight - 1);
        state.placementDue = true;
        if (result == OrderResult.OK) {
            state.taskBegan(task, worker, now.steadyMillis());
        }
        Run run = worker.run(task.text(), number);
        if (run == null || run.phase != RunPhase.STARTING) {
            return;
        }
        switch (result) {
            case OK -> confirm(run, now);
            case NO_ANSWER -> markUnconfirmed(run, now);
            default -> startRejected(run, result, now);
        }
    }

    private void confirm(Run run, Moment now) {
        run.phase = RunPhase.RUNNING;
        run.confirmedMillis = now.steadyMillis();
        run.progressMillis = now.steadyMillis();
        run.worker.answered(now.steadyMillis());
        if (!run.wanted || run.task.step.occurrence.job.phase.ended()) {
            orderSender.stop(run, "job-ended", now);
        }
    }

    private void markUnconfirmed(Run run, Moment now) {
        run.phase = RunPhase.UNCONFIRMED;
        run.worker.missedCalls++;
        run.worker.startUnanswered(run, now.steadyMillis());
        leaseNotes.update(run.worker, now.steadyMillis());
        run.worker.holdUrgent = true;
        run.worker.nextHoldMillis = now.steadyMillis();
        state.actions.logDecision(run.describe(Decision.of("start-unanswered"))
                .with("age", now.steadyMillis() - run.startedMillis)
                .with("reportAge", run.reportAgeMillis));
    }

    private void startRejected(Run run, OrderResult result, Moment now) {
        PoolWorker worker = run.worker;
        worker.remove(run);
        long nowMillis = now.steadyMillis();
        state.actions.logDecision(Decision.failure("start-rejected")
                .with("job", run.task.id.job())
                .with("task", run.task.id.text())
                .with("worker", worker.id)
                .with("result", result.name()));
        switch (result) {
            case OTHER_LIFE -> workerLosses.otherWorkerAnswered(worker, now);
            case NO_ROOM -> worker.suspicion.refused(nowMillis, NO_ROOM_PAUSE_MILLIS);
            case BAD_TICKET -> run.task.step.advice.ticketRefused(worker);
            case LEASE_PASSED -> askForClock(worker, nowMillis);
            case OTHER_INCARNATION -> {
                worker.restartReported = true;
                askForClock(worker, nowMillis);
            }
            case REFUSED -> worker.suspicion.refused(nowMillis, REFUSAL_PAUSE_MILLIS);
            default -> state.placementDue = true;
        }
    }

    /**
     * Has a hold sent to a worker, also to an idle one: a clock that was read before a suspension of this process is late.
     */
    private static void askForClock(PoolWorker worker, long nowMillis) {
        worker.wantAnswer(nowMillis);
        worker.holdUrgent = true;
    }

    /**
     * Handles the outcome of a stop.
     */
    void stopAnswered(PoolWorker worker, String task, int number, OrderResult result, Moment now) {
        Run run = worker.run(task, number);
        if (result == OrderResult.OTHER_LIFE) {
            workerLosses.otherWorkerAnswered(worker, now);
        } else if (run != null) {
            boolean maybeOfFormer = run.stopSentBeforeRestart;
            run.stopSentBeforeRestart = false;
            run.stopInFlight = false;
            if (result == OrderResult.OK && !maybeOfFormer) {
                run.stopAnswered = true;
                run.stopAnsweredMillis = now.steadyMillis();
                worker.holdUrgent = true;
                worker.nextHoldMillis = Math.min(worker.nextHoldMillis, now.steadyMillis());
            }
        }
    }

    /**
     * Handles a hold that was not answered with a status.
     */
    void holdFailed(PoolWorker worker, OrderResult result, Moment now) {
        worker.holdInFlight = false;
        worker.nextHoldMillis = now.steadyMillis() + HOLD_RETRY_MILLIS;
        if (result == OrderResult.OTHER_LIFE) {
            workerLosses.otherWorkerAnswered(worker, now);
        } else {
            worker.missedCalls++;
            worker.holdUnanswered(now.steadyMillis());
            leaseNotes.update(worker, now.steadyMillis());
        }
    }

    /**
     * Handles a worker's status.
     */
    void statusReceived(PoolWorker worker, WorkerRunStatus status, Moment now) {
        long nowMillis = now.steadyMillis();
        worker.holdInFlight = false;
        worker.gone = Optional.empty();
        worker.missedCalls = 0;
        worker.callUnanswered = false;
        leaseNotes.remove(worker, nowMillis);
        worker.recordAcknowledgement(nowMillis);
        state.placementDue |= worker.answerWanted;
        worker.recordClock(status.clockMillis(), nowMillis);
        boolean firstStatus = !worker.fenced;
        worker.fence(nowMillis, state.timeouts.leaseMillis());
        logIfPartial(worker, status);
        worker.statusComplete = status.complete();
        boolean newEnds = false;
        for (WorkerRunStatus.Ended ended : status.ended()) {
            if (ended.number() > worker.processedEnd) {
                worker.processedEnd = ended.number();
                runEnded(worker, ended, now);
                newEnds = true;
            }
        }
        Set<Run> seen = new HashSet<>();
        for (WorkerRunStatus.Running running : status.running()) {
            seen.add(runListed(worker, running, now));
        }
        // A run in neither list of a partial status may have ended.
        worker.runs.values().forEach(run -> run.mayHaveEnded = !status.complete() && !seen.contains(run));
        if (status.complete()) {
            resolveAbsent(worker, seen, now);
            state.forgetUnreportedRuns(worker);
            state.placementDue |= state.unresolvedWorkers.remove(worker);
        }
        worker.nextHoldMillis = firstStatus ? nowMillis : nowMillis + (newEnds ? HOLD_DELAY_AFTER_ENDS_MILLIS : 0);
        state.placementDue |= newEnds || firstStatus;
    }

    private void logIfPartial(PoolWorker worker, WorkerRunStatus status) {
        if (worker.statusComplete && !status.complete()) {
            state.actions.logDecision(Decision.failure("status-partial")
                    .with("worker", worker.id)
                    .with("runs", worker.runs.size())
                    .with("running", status.running().size())
                    .with("ended", status.ended().size())
                    .with("acknowledgedEnd", worker.ackedEnd)
                    .with("storedEnd", worker.storedEnd));
        }
    }

    private Run runListed(PoolWorker worker, WorkerRunStatus.Running running, Moment now) {
        Run run = worker.run(running.task(), running.run());
        if (run == null) {
            run = adopt(worker, running, now);
        }
        state.taskBegan(run.task.id, worker, now.steadyMillis());
        run.listed = true;
        run.absences = 0;
        worker.unansweredStarts.remove(PoolWorker.key(run));
        if (run.phase == RunPhase.UNCONFIRMED && run.wanted || run.phase == RunPhase.STARTING) {
            run.phase = RunPhase.RUNNING;
            run.confirmedMillis = now.steadyMillis();
        }
        run.recordProgress(running.percent(), now.steadyMillis());
        run.load = running.load();
        if (!running.checkpoint().isEmpty()) {
            run.checkpoint = running.checkpoint();
            run.task.checkpoint = running.checkpoint();
        }
        if (run.isReady()) {
            run.task.notReadySinceMillis = Long.MIN_VALUE;
        }
        clearSuspicion(run, now);
        return run;
    }

    private void clearSuspicion(Run run, Moment now) {
        if (run.hasSurvived() && run.task.crashRecord.crashes() > 0) {
            run.task.crashRecord = CrashRecord.NONE;
            state.markDirty(run.job(), now.steadyMillis(), false);
            logRun("suspicion-cleared", run);
        }
    }

    /**
     * Adds a reported run that is not known: adopts it if its task needs it, else stops it.
     */
    private Run adopt(PoolWorker worker, WorkerRunStatus.Running running, Moment now) {
        JobTaskState task = reportedTask(running.task(), now);
        boolean wanted = task != null
                && !task.done
                && !task.step.occurrence.job.phase.ended()
                && task.runs.stream().noneMatch(Run::isActive);
        JobTaskState target = task != null ? task : JobTaskState.unknown(running.task(), now);
        Run run = new Run(target, running.run(), worker, RunPhase.RUNNING, now.steadyMillis());
        run.sizeUnknown = task == null;
        run.adopted = true;
        run.pace = RunPace.UNKNOWN;
        target.lastRunNumber = Math.max(target.lastRunNumber, running.run());
        target.mayHaveUnseenRun = false;
        worker.add(run);
        if (wanted) {
            state.markDirty(target.step.occurrence.job, now.steadyMillis(), false);
            logRun("run-adopted", run);
        } else {
            orderSender.stop(run, "not-wanted", now);
        }
        return run;
    }

    /**
     * Returns the task of a reported run, null if there is none. An occurrence that an earlier owner had opened is opened.
     */
    private JobTaskState reportedTask(String name, Moment now) {
        JobTaskState known = state.task(name);
        Optional<TaskId> id = known == null ? TaskId.parse(name) : Optional.empty();
        JobState job = id.map(task -> state.jobs.get(task.job())).orElse(null);
        if (job == null || !job.openReported(id.get().occurrence(), now)) {
            return known;
        }
        state.markDirty(job, now.steadyMillis(), false);
        state.placementDue = true;
        state.actions.logDecision(Decision.of("occurrence-adopted")
                .with("job", job.spec.id())
                .with("task", name)
                .with("nextOccurrence", job.nextOccurrence));
        return job.task(id.get());
    }

    private void runEnded(PoolWorker worker, WorkerRunStatus.Ended ended, Moment now) {
        Run run = worker.run(ended.task(), ended.run());
        JobTaskState task = run != null ? run.task : reportedTask(ended.task(), now);
        TaskId.parse(ended.task()).ifPresent(id -> state.taskBegan(id, worker, now.steadyMillis()));
        if (run != null) {
            worker.unansweredStarts.remove(PoolWorker.key(run));
            runStatistics.runEnded(run, ended.how(), now.steadyMillis());
            worker.remove(run);
        }
        if (task == null) {
            return;
        }
        if (!ended.checkpoint().isEmpty() && ended.run() >= task.lastRunNumber) {
            task.checkpoint = ended.checkpoint();
        }
        task.lastRunNumber = Math.max(task.lastRunNumber, ended.run());
        state.actions.logDecision(Decision.of("run-ended")
                .with("job", task.id.job())
                .with("task", task.id.text())
                .with("run", ended.run())
                .with("worker", worker.id)
                .with("how", ended.how().name()));
        apply(task, ended.run(), ended.how(), now);
    }

    private void apply(JobTaskState task, int run, RunEnd how, Moment now) {
        JobState job = task.step.occurrence.job;
        task.notReadySinceMillis = Math.max(task.notReadySinceMillis, now.steadyMillis());
        if (task.done || job.phase.ended()) {
            return;
        }
        if (how == RunEnd.DONE && !task.step.spec.longRunning()) {
            taskDone(task, now);
        } else if (how == RunEnd.FAILED && !task.step.spec.longRunning()) {
            taskFailed(task, run, now);
        }
        state.markDirty(job, now.steadyMillis(), false);
    }

    private void taskDone(JobTaskState task, Moment now) {
        JobStepState step = task.step;
        List<JobTaskState> finishedTasks = step.spec.gang() ? List.of(step.tasks) : List.of(task);
        for (JobTaskState member : finishedTasks) {
            if (!member.done) {
                member.done = true;
                step.doneTasks++;
            }
            new ArrayList<>(member.runs).forEach(run -> orderSender.stop(run, "task-done", now));
        }
        OccurrenceState occurrence = step.occurrence;
        occurrence.advance(now.steadyMillis());
        JobState job = occurrence.job;
        if (occurrence.ended()) {
            job.close(occurrence);
            if (job.allOccurrencesEnded()) {
                state.end(job, JobPhase.COMPLETED, now);
            }
        }
    }

    private void taskFailed(JobTaskState task, int run, Moment now) {
        JobState job = task.step.occurrence.job;
        FailedRuns failed = task.step.spec.gang() ? task.step.failedGangs : task.failedRuns;
        failed.add(run);
        int failures = failed.count();
        if (failures >= job.queue.maxAttempts()) {
            jobEnds.fail(
                    task, "attempts-used-up", Map.of("failures", failures, "attempts", job.queue.maxAttempts()), now);
        }
    }

    /**
     * Handles the runs that a complete status does not list.
     */
    private void resolveAbsent(PoolWorker worker, Set<Run> seen, Moment now) {
        for (Run run : new ArrayList<>(worker.runs.values())) {
            if (seen.contains(run)) {
                run.absences = 0;
            } else if (run.isStoppedBefore(worker.holdSentMillis) || run.isLostBefore(worker.holdSentMillis)) {
                worker.remove(run);
                state.actions.logDecision(run.describe(Decision.of("run-absent"))
                        .with("phase", run.phase.name())
                        .with("age", now.steadyMillis() - run.startedMillis));
                state.placementDue = true;
            } else if (run.phase == RunPhase.UNCONFIRMED && run.wanted && run.startedMillis < worker.holdSentMillis) {
                orderSender.stop(run, "start-unanswered", now);
            }
        }
    }

    /**
     * Stops the runs that make no progress.
     */
    void stopStalled(Moment now) {
        for (PoolWorker worker : state.workers.values()) {
            for (Run run : runStatistics.stalledRuns(worker, now.steadyMillis())) {
                state.actions.logDecision(run.describe(Decision.of("run-stalled"))
                        .with("percent", run.percent)
                        .with("patience", RunStatistics.patienceMillis(run))
                        .with("stalledBefore", run.task.stalledRuns));
                orderSender.stop(run, "no-progress", now);
                // A task that stalls again may be slow everywhere, which says nothing of its worker.
                if (run.task.stalledRuns == 0) {
                    runStatistics.blameStall(worker, now.steadyMillis());
                }
                run.task.stalledRuns++;
            }
        }
    }

    private void logRun(String name, Run run) {
        state.actions.logDecision(run.describe(Decision.of(name)));
    }
}
