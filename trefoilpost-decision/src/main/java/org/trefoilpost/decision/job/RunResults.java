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
final class RunResults {
    private static final long REFUSED_PAUSE_MILLIS = 500;
    private static final long NO_ROOM_PAUSE_MILLIS = 200;
    private static final long HOLD_AFTER_ENDS_MILLIS = 40;
    private static final long HOLD_RETRY_MILLIS = 250;
    private static final int ABSENCES_UNTIL_LOST = 2;

    private final PoolState state;
    private final Orders orders;
    private final WorkerHealth health;
    private final Map<Run, Integer> absences = new HashMap<>();

    RunResults(PoolState state, Orders orders, WorkerHealth health) {
        this.state = state;
        this.orders = orders;
        this.health = health;
    }

    /**
     * Takes in the outcome of a start.
     */
    void started(WorkerSlot slot, TaskId task, int number, CallResult result, Moment now) {
        slot.startsInFlight = Math.max(0, slot.startsInFlight - 1);
        state.placementDue = true;
        Run run = slot.run(task.text(), number);
        if (run == null || run.phase != RunPhase.STARTING) {
            return;
        }
        switch (result) {
            case OK -> confirm(run, now);
            case NO_ANSWER -> doubt(run, now);
            default -> rejected(run, result, now);
        }
    }

    private void confirm(Run run, Moment now) {
        run.phase = RunPhase.RUNNING;
        run.confirmedMillis = now.steadyMillis();
        run.progressMillis = now.steadyMillis();
        run.worker.lastAnswerMillis = now.steadyMillis();
        if (!run.wanted || run.task.step.occurrence.job.phase.ended()) {
            orders.stop(run, "job-ended", now);
        }
    }

    private void doubt(Run run, Moment now) {
        run.phase = RunPhase.DOUBTFUL;
        run.worker.missedCalls++;
        run.worker.holdUrgent = true;
        run.worker.nextHoldMillis = now.steadyMillis();
        note("start-unanswered", run);
    }

    private void rejected(Run run, CallResult result, Moment now) {
        WorkerSlot slot = run.worker;
        slot.remove(run);
        long nowMillis = now.steadyMillis();
        state.actions.decided(Decision.failure("start-rejected")
                .with("job", run.task.id.job())
                .with("task", run.task.id.text())
                .with("worker", slot.id)
                .with("result", result.name()));
        switch (result) {
            case OTHER_LIFE -> lifeEnded(slot, "other-life", now);
            case NO_ROOM -> slot.suspectUntilMillis = nowMillis + NO_ROOM_PAUSE_MILLIS;
            case BAD_TICKET -> run.task.step.tickets.remove(slot.id);
            case LEASE_PASSED -> slot.holdUrgent = true;
            case REFUSED -> slot.suspectUntilMillis = nowMillis + REFUSED_PAUSE_MILLIS;
            default -> state.placementDue = true;
        }
    }

    /**
     * Takes in the outcome of a stop.
     */
    void stopped(WorkerSlot slot, String task, int number, CallResult result, Moment now) {
        Run run = slot.run(task, number);
        if (result == CallResult.OTHER_LIFE) {
            lifeEnded(slot, "other-life", now);
        } else if (run != null) {
            run.stopInFlight = false;
            if (result == CallResult.OK) {
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
    void holdFailed(WorkerSlot slot, CallResult result, Moment now) {
        slot.holdInFlight = false;
        slot.nextHoldMillis = now.steadyMillis() + HOLD_RETRY_MILLIS;
        if (result == CallResult.OTHER_LIFE) {
            lifeEnded(slot, "other-life", now);
        } else {
            slot.missedCalls++;
        }
    }

    /**
     * Takes in a worker's status.
     */
    void held(WorkerSlot slot, WorkerStatus status, Moment now) {
        long nowMillis = now.steadyMillis();
        slot.holdInFlight = false;
        slot.missedCalls = 0;
        slot.ackedEnd = Math.max(slot.ackedEnd, slot.ackSentEnd);
        slot.sawClock(status.clockMillis(), nowMillis);
        boolean first = !slot.fenced;
        slot.fenced = true;
        boolean news = false;
        for (WorkerStatus.Ended ended : status.ended()) {
            if (ended.number() > slot.processedEnd) {
                slot.processedEnd = ended.number();
                ended(slot, ended, now);
                news = true;
            }
        }
        Set<Run> seen = new HashSet<>();
        for (WorkerStatus.Running running : status.running()) {
            seen.add(listed(slot, running, now));
        }
        resolveAbsent(slot, seen, now);
        slot.nextHoldMillis = first ? nowMillis : nowMillis + (news ? HOLD_AFTER_ENDS_MILLIS : 0);
        state.unresolved.remove(slot);
        state.placementDue |= news || first;
    }

    private Run listed(WorkerSlot slot, WorkerStatus.Running running, Moment now) {
        Run run = slot.run(running.task(), running.run());
        if (run == null) {
            run = adopt(slot, running, now);
        }
        if (run.phase == RunPhase.DOUBTFUL && run.wanted || run.phase == RunPhase.STARTING) {
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
        if (run.isAtWork()) {
            run.task.awaySinceMillis = Long.MIN_VALUE;
        }
        return run;
    }

    /**
     * Takes over a run that another owner started, or one that is not wanted and has to be stopped.
     */
    private Run adopt(WorkerSlot slot, WorkerStatus.Running running, Moment now) {
        TaskState task = state.task(running.task());
        boolean wanted = task != null
                && !task.done
                && !task.step.occurrence.job.phase.ended()
                && task.runs.stream().noneMatch(Run::isActive);
        TaskState owner = task != null ? task : unknownTask(running.task(), now);
        Run run = new Run(owner, running.run(), slot, RunPhase.RUNNING, now.steadyMillis());
        run.ofUnknownSize = task == null;
        owner.lastRun = Math.max(owner.lastRun, running.run());
        owner.mayRunUnseen = false;
        slot.add(run);
        if (wanted) {
            JobState job = owner.step.occurrence.job;
            job.phase = JobPhase.RUNNING;
            state.touch(job, now.steadyMillis(), false);
            note("run-adopted", run);
        } else {
            orders.stop(run, "not-wanted", now);
        }
        return run;
    }

    private TaskState unknownTask(String name, Moment now) {
        TaskId id = TaskId.parse(name).orElse(new TaskId(name, 0, 0, 0));
        StepSpec step = StepSpec.builder().build();
        JobSpec spec = new JobSpec(id.job(), "", "", List.of(step), JobSpec.Schedule.ONCE);
        JobState job = new JobState(spec, null, now);
        job.phase = JobPhase.CANCELLED;
        return new TaskState(id, new StepState(new OccurrenceState(job, id.occurrence()), id.step(), step));
    }

    private void ended(WorkerSlot slot, WorkerStatus.Ended ended, Moment now) {
        Run run = slot.run(ended.task(), ended.run());
        TaskState task = run != null ? run.task : state.task(ended.task());
        if (run != null) {
            health.ended(run, ended.how(), now.steadyMillis());
            slot.remove(run);
        }
        if (task == null) {
            return;
        }
        if (!ended.checkpoint().isEmpty() && ended.run() >= task.lastRun) {
            task.checkpoint = ended.checkpoint();
        }
        task.lastRun = Math.max(task.lastRun, ended.run());
        state.actions.decided(Decision.of("run-ended")
                .with("job", task.id.job())
                .with("task", task.id.text())
                .with("run", ended.run())
                .with("worker", slot.id)
                .with("how", ended.how().name()));
        apply(task, ended.run(), ended.how(), now);
    }

    private void apply(TaskState task, int run, RunEnd how, Moment now) {
        JobState job = task.step.occurrence.job;
        task.awaySinceMillis = Math.max(task.awaySinceMillis, now.steadyMillis());
        if (task.done || job.phase.ended()) {
            return;
        }
        if (how == RunEnd.DONE && !task.step.spec.longRunning()) {
            done(task, now);
        } else if (how == RunEnd.FAILED && !task.step.spec.longRunning()) {
            failed(task, run, now);
        }
        state.touch(job, now.steadyMillis(), false);
    }

    private void done(TaskState task, Moment now) {
        StepState step = task.step;
        List<TaskState> finished = step.spec.gang() ? List.of(step.tasks) : List.of(task);
        for (TaskState each : finished) {
            if (!each.done) {
                each.done = true;
                step.done++;
            }
            new ArrayList<>(each.runs).forEach(run -> orders.stop(run, "task-done", now));
        }
        OccurrenceState occurrence = step.occurrence;
        occurrence.advance(now.steadyMillis());
        JobState job = occurrence.job;
        if (occurrence.ended()) {
            job.close(occurrence);
            if (job.allEnded()) {
                state.end(job, JobPhase.COMPLETED, now);
            }
        }
    }

    private void failed(TaskState task, int run, Moment now) {
        JobState job = task.step.occurrence.job;
        FailedRuns failed = task.step.spec.gang() ? task.step.failedGangs : task.failedRuns;
        failed.add(run);
        int failures = failed.count();
        if (failures >= job.queue.attempts()) {
            state.end(job, JobPhase.FAILED, now);
            state.actions.decided(Decision.failure("job-failed")
                    .with("job", job.spec.id())
                    .with("task", task.id.text())
                    .with("failures", failures)
                    .with("attempts", job.queue.attempts()));
            stopAll(job, "job-failed", now);
        }
    }

    /**
     * Stops all runs of a job.
     */
    void stopAll(JobState job, String reason, Moment now) {
        for (OccurrenceState occurrence : job.open()) {
            for (StepState step : occurrence.steps) {
                for (TaskState task : step.tasks) {
                    new ArrayList<>(task.runs).forEach(run -> orders.stop(run, reason, now));
                }
            }
        }
    }

    private void resolveAbsent(WorkerSlot slot, Set<Run> seen, Moment now) {
        for (Run run : new ArrayList<>(slot.runs.values())) {
            if (seen.contains(run)) {
                absences.remove(run);
            } else if (neverBegins(run, slot) || lost(run, slot)) {
                absences.remove(run);
                slot.remove(run);
                note("run-absent", run);
                state.placementDue = true;
            } else if (run.phase == RunPhase.DOUBTFUL && run.wanted && run.startedMillis < slot.holdSentMillis) {
                orders.stop(run, "start-unanswered", now);
            }
        }
    }

    private static boolean neverBegins(Run run, WorkerSlot slot) {
        return run.stopAnswered && run.stopAnsweredMillis <= slot.holdSentMillis;
    }

    private boolean lost(Run run, WorkerSlot slot) {
        boolean expected = run.phase == RunPhase.RUNNING && run.confirmedMillis < slot.holdSentMillis;
        return expected && absences.merge(run, 1, Integer::sum) >= ABSENCES_UNTIL_LOST;
    }

    /**
     * Takes in that a life of a worker has ended, and with it all its runs.
     */
    void lifeEnded(WorkerSlot slot, String reason, Moment now) {
        if (slot.gone) {
            return;
        }
        slot.gone = true;
        release(slot, reason, now);
    }

    /**
     * Frees the tasks of runs that surely have ended.
     */
    void release(WorkerSlot slot, String reason, Moment now) {
        state.actions.decided(Decision.failure("worker-lost")
                .with("worker", slot.id)
                .with("reason", reason)
                .with("runs", slot.runs.size())
                .with("answerAge", slot.answerAge(now.steadyMillis())));
        for (Run run : new ArrayList<>(slot.runs.values())) {
            slot.remove(run);
            absences.remove(run);
            run.task.awaySinceMillis = Math.max(run.task.awaySinceMillis, now.steadyMillis());
        }
        state.unresolved.remove(slot);
        state.placementDue = true;
    }

    private void note(String name, Run run) {
        state.actions.decided(Decision.of(name)
                .with("job", run.task.id.job())
                .with("task", run.task.id.text())
                .with("run", run.number)
                .with("worker", run.worker.id));
    }
}
