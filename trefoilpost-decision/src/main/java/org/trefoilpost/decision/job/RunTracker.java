package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Takes in what workers answer, and keeps runs, tasks and jobs in step with it.
 */
final class RunTracker {
    private static final long REFUSAL_PAUSE_MILLIS = 500;
    private static final long NO_ROOM_PAUSE_MILLIS = 200;
    private static final long HOLD_DELAY_AFTER_ENDS_MILLIS = 40;
    private static final long HOLD_RETRY_MILLIS = 250;
    private static final int ABSENCES_UNTIL_LOST = 2;

    private final PoolState state;
    private final OrderSender orderSender;
    private final RunStatistics runStatistics;
    private final Map<Run, Integer> absences = new HashMap<>();

    RunTracker(PoolState state, OrderSender orders, RunStatistics health) {
        this.state = state;
        this.orderSender = orders;
        this.runStatistics = health;
    }

    /**
     * Takes in the outcome of a start.
     */
    void startAnswered(PoolWorker slot, TaskId task, int number, OrderResult result, Moment now) {
        slot.startsInFlight = Math.max(0, slot.startsInFlight - 1);
        state.placementDue = true;
        Run run = slot.run(task.text(), number);
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
        run.worker.lastAnswerMillis = now.steadyMillis();
        if (!run.wanted || run.task.step.occurrence.job.phase.ended()) {
            orderSender.stop(run, "job-ended", now);
        }
    }

    private void markUnconfirmed(Run run, Moment now) {
        run.phase = RunPhase.UNCONFIRMED;
        run.worker.missedCalls++;
        run.worker.holdUrgent = true;
        run.worker.nextHoldMillis = now.steadyMillis();
        logRun("start-unanswered", run);
    }

    private void startRejected(Run run, OrderResult result, Moment now) {
        PoolWorker slot = run.worker;
        slot.remove(run);
        long nowMillis = now.steadyMillis();
        state.actions.logDecision(Decision.failure("start-rejected")
                .with("job", run.task.id.job())
                .with("task", run.task.id.text())
                .with("worker", slot.id)
                .with("result", result.name()));
        switch (result) {
            case OTHER_LIFE -> workerEnded(slot, "other-life", now);
            case NO_ROOM -> slot.suspectUntilMillis = nowMillis + NO_ROOM_PAUSE_MILLIS;
            case BAD_TICKET -> run.task.step.tickets.remove(slot.id);
            case LEASE_PASSED -> slot.holdUrgent = true;
            case REFUSED -> slot.suspectUntilMillis = nowMillis + REFUSAL_PAUSE_MILLIS;
            default -> state.placementDue = true;
        }
    }

    /**
     * Takes in the outcome of a stop.
     */
    void stopAnswered(PoolWorker slot, String task, int number, OrderResult result, Moment now) {
        Run run = slot.run(task, number);
        if (result == OrderResult.OTHER_LIFE) {
            workerEnded(slot, "other-life", now);
        } else if (run != null) {
            run.stopInFlight = false;
            if (result == OrderResult.OK) {
                run.stopAnswered = true;
                run.stopAnsweredMillis = now.steadyMillis();
                slot.holdUrgent = true;
                slot.nextHoldMillis = Math.min(slot.nextHoldMillis, now.steadyMillis());
            }
        }
    }

    /**
     * Takes in that a hold brought no status.
     */
    void holdFailed(PoolWorker slot, OrderResult result, Moment now) {
        slot.holdInFlight = false;
        slot.nextHoldMillis = now.steadyMillis() + HOLD_RETRY_MILLIS;
        if (result == OrderResult.OTHER_LIFE) {
            workerEnded(slot, "other-life", now);
        } else {
            slot.missedCalls++;
        }
    }

    /**
     * Takes in a worker's status.
     */
    void statusReceived(PoolWorker slot, WorkerRunStatus status, Moment now) {
        long nowMillis = now.steadyMillis();
        slot.holdInFlight = false;
        slot.missedCalls = 0;
        slot.ackedEnd = Math.max(slot.ackedEnd, slot.ackSentEnd);
        slot.recordClock(status.clockMillis(), nowMillis);
        boolean first = !slot.fenced;
        slot.fenced = true;
        boolean news = false;
        for (WorkerRunStatus.Ended ended : status.ended()) {
            if (ended.number() > slot.processedEnd) {
                slot.processedEnd = ended.number();
                runEnded(slot, ended, now);
                news = true;
            }
        }
        Set<Run> seen = new HashSet<>();
        for (WorkerRunStatus.Running running : status.running()) {
            seen.add(runListed(slot, running, now));
        }
        resolveAbsent(slot, seen, now);
        slot.nextHoldMillis = first ? nowMillis : nowMillis + (news ? HOLD_DELAY_AFTER_ENDS_MILLIS : 0);
        state.unresolvedWorkers.remove(slot);
        state.placementDue |= news || first;
    }

    private Run runListed(PoolWorker slot, WorkerRunStatus.Running running, Moment now) {
        Run run = slot.run(running.task(), running.run());
        if (run == null) {
            run = adopt(slot, running, now);
        }
        if (run.phase == RunPhase.UNCONFIRMED && run.wanted || run.phase == RunPhase.STARTING) {
            run.phase = RunPhase.RUNNING;
            run.confirmedMillis = now.steadyMillis();
        }
        if (running.percent() != run.percent) {
            run.percent = running.percent();
            run.progressMillis = now.steadyMillis();
        }
        run.load = running.load();
        if (!running.checkpoint().isEmpty()) {
            run.checkpoint = running.checkpoint();
            run.task.checkpoint = running.checkpoint();
        }
        if (run.isReady()) {
            run.task.notReadySinceMillis = Long.MIN_VALUE;
        }
        return run;
    }

    /**
     * Takes over a run that another owner started, or one that is not wanted and has to be stopped.
     */
    private Run adopt(PoolWorker slot, WorkerRunStatus.Running running, Moment now) {
        JobTaskState task = state.task(running.task());
        boolean wanted = task != null
                && !task.done
                && !task.step.occurrence.job.phase.ended()
                && task.runs.stream().noneMatch(Run::isActive);
        JobTaskState owner = task != null ? task : unknownTask(running.task(), now);
        Run run = new Run(owner, running.run(), slot, RunPhase.RUNNING, now.steadyMillis());
        run.sizeUnknown = task == null;
        owner.lastRunNumber = Math.max(owner.lastRunNumber, running.run());
        owner.mayHaveUnseenRun = false;
        slot.add(run);
        if (wanted) {
            JobState job = owner.step.occurrence.job;
            job.phase = JobPhase.RUNNING;
            state.markDirty(job, now.steadyMillis(), false);
            logRun("run-adopted", run);
        } else {
            orderSender.stop(run, "not-wanted", now);
        }
        return run;
    }

    private JobTaskState unknownTask(String name, Moment now) {
        TaskId id = TaskId.parse(name).orElse(new TaskId(name, 0, 0, 0));
        StepSpec step = StepSpec.builder().build();
        JobSpec spec = new JobSpec(id.job(), "", "", List.of(step), JobSpec.Schedule.ONCE);
        JobState job = new JobState(spec, null, now);
        job.phase = JobPhase.CANCELLED;
        return new JobTaskState(id, new JobStepState(new OccurrenceState(job, id.occurrence()), id.step(), step));
    }

    private void runEnded(PoolWorker slot, WorkerRunStatus.Ended ended, Moment now) {
        Run run = slot.run(ended.task(), ended.run());
        JobTaskState task = run != null ? run.task : state.task(ended.task());
        if (run != null) {
            runStatistics.runEnded(run, ended.how(), now.steadyMillis());
            slot.remove(run);
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
                .with("worker", slot.id)
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
        List<JobTaskState> finished = step.spec.gang() ? List.of(step.tasks) : List.of(task);
        for (JobTaskState each : finished) {
            if (!each.done) {
                each.done = true;
                step.doneTasks++;
            }
            new ArrayList<>(each.runs).forEach(run -> orderSender.stop(run, "task-done", now));
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
            state.end(job, JobPhase.FAILED, now);
            state.actions.logDecision(Decision.failure("job-failed")
                    .with("job", job.spec.id())
                    .with("task", task.id.text())
                    .with("failures", failures)
                    .with("attempts", job.queue.maxAttempts()));
            stopAll(job, "job-failed", now);
        }
    }

    /**
     * Stops all runs of a job.
     */
    void stopAll(JobState job, String reason, Moment now) {
        for (OccurrenceState occurrence : job.openOccurrences()) {
            for (JobStepState step : occurrence.steps) {
                for (JobTaskState task : step.tasks) {
                    new ArrayList<>(task.runs).forEach(run -> orderSender.stop(run, reason, now));
                }
            }
        }
    }

    private void resolveAbsent(PoolWorker slot, Set<Run> seen, Moment now) {
        for (Run run : new ArrayList<>(slot.runs.values())) {
            if (seen.contains(run)) {
                absences.remove(run);
            } else if (isStoppedBeforeStart(run, slot) || isLost(run, slot)) {
                absences.remove(run);
                slot.remove(run);
                logRun("run-absent", run);
                state.placementDue = true;
            } else if (run.phase == RunPhase.UNCONFIRMED && run.wanted && run.startedMillis < slot.holdSentMillis) {
                orderSender.stop(run, "start-unanswered", now);
            }
        }
    }

    private static boolean isStoppedBeforeStart(Run run, PoolWorker slot) {
        return run.stopAnswered && run.stopAnsweredMillis <= slot.holdSentMillis;
    }

    private boolean isLost(Run run, PoolWorker slot) {
        boolean expected = run.phase == RunPhase.RUNNING && run.confirmedMillis < slot.holdSentMillis;
        return expected && absences.merge(run, 1, Integer::sum) >= ABSENCES_UNTIL_LOST;
    }

    /**
     * Takes in that a life of a worker has ended, and with it all its runs.
     */
    void workerEnded(PoolWorker slot, String reason, Moment now) {
        if (slot.ended) {
            return;
        }
        slot.ended = true;
        releaseRuns(slot, reason, now);
    }

    /**
     * Frees the tasks of runs that surely have ended.
     */
    void releaseRuns(PoolWorker slot, String reason, Moment now) {
        state.actions.logDecision(Decision.failure("worker-lost")
                .with("worker", slot.id)
                .with("reason", reason)
                .with("runs", slot.runs.size())
                .with("answerAge", slot.answerAgeMillis(now.steadyMillis())));
        for (Run run : new ArrayList<>(slot.runs.values())) {
            slot.remove(run);
            absences.remove(run);
            run.task.notReadySinceMillis = Math.max(run.task.notReadySinceMillis, now.steadyMillis());
        }
        state.unresolvedWorkers.remove(slot);
        state.placementDue = true;
    }

    private void logRun(String name, Run run) {
        state.actions.logDecision(Decision.of(name)
                .with("job", run.task.id.job())
                .with("task", run.task.id.text())
                .with("run", run.number)
                .with("worker", run.worker.id));
    }
}
