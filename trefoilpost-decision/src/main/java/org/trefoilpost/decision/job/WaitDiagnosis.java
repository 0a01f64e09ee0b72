package org.trefoilpost.decision.job;

import java.util.Comparator;
import java.util.Optional;

/**
 * Determines why a long-running task does not run, without changing anything.
 */
final class WaitDiagnosis {
    private final PoolState state;
    private final PlacementAdvice advice;

    WaitDiagnosis(PoolState state, PlacementAdvice advice) {
        this.state = state;
        this.advice = advice;
    }

    /**
     * Returns why a task without a confirmed run cannot be placed, empty if it only needs a worker.
     */
    Optional<WaitReason> obstacle(JobTaskState task, OrderPermission permission, long nowMillis) {
        if (!task.runs.isEmpty()) {
            boolean running = latestRun(task).phase == RunPhase.RUNNING;
            return Optional.of(running ? WaitReason.WORKER_SILENT : WaitReason.RUN_UNRESOLVED);
        } else if (task.mayHaveUnseenRun && state.mayHaveUnseenRuns(nowMillis)) {
            return Optional.of(WaitReason.RUNS_UNSEEN);
        } else if (!state.active || !permission.allowsStarts()) {
            return Optional.of(WaitReason.NO_PERMISSION);
        } else if (nowMillis < task.blockedUntilMillis) {
            return Optional.of(WaitReason.PAUSED);
        } else if (task.step.occurrence.job.queue == null) {
            return Optional.of(WaitReason.QUEUE_UNKNOWN);
        } else if (IsolatedPlacer.awaits(task, nowMillis)) {
            return Optional.of(WaitReason.SUSPECTED);
        }
        return state.teamGate.hasRoom(task.step) ? Optional.empty() : Optional.of(WaitReason.TEAM_LIMIT);
    }

    /**
     * Returns why a task that only needs a worker has none.
     */
    WaitReason placement(JobTaskState task, Moment now) {
        WorkerCounts counts = count(task.step, now);
        if (task.step.spec.gang() && !isGangStartable(task.step, now.steadyMillis())) {
            return WaitReason.GANG;
        } else if (counts.suiting == 0) {
            return WaitReason.NO_WORKER;
        } else if (counts.withRoom == 0) {
            return WaitReason.NO_ROOM;
        } else if (counts.advised == 0) {
            return WaitReason.ADVICE;
        }
        return counts.ready == 0 ? WaitReason.WORKERS_BUSY : WaitReason.NOT_PLACED;
    }

    private boolean isGangStartable(JobStepState step, long nowMillis) {
        for (JobTaskState member : step.tasks) {
            if (!state.mayStart(member, nowMillis)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Describes a wait with what led to its reason.
     */
    Decision describe(TaskWait wait, OrderPermission permission, Moment now) {
        JobTaskState task = wait.task();
        Decision decision = Decision.failure("task-waiting")
                .with("job", task.id.job())
                .with("task", task.id.text())
                .with("pool", state.pool)
                .with("wait", wait.millis())
                .with("reason", wait.reason().text());
        switch (wait.reason()) {
            case WORKER_SILENT, RUN_UNRESOLVED -> describeRun(decision, latestRun(task), now.steadyMillis());
            case RUNS_UNSEEN -> describeUnseen(decision, now.steadyMillis());
            case NO_PERMISSION -> decision.with("permission", permission.name()).with("active", state.active);
            case PAUSED -> decision.with("remaining", task.blockedUntilMillis - now.steadyMillis());
            case QUEUE_UNKNOWN -> decision.with("queue", task.step.occurrence.job.spec.queue());
            case SUSPECTED ->
                decision.with("isolation", task.isolation().name())
                        .with("crashAge", now.steadyMillis() - task.crashedMillis);
            case TEAM_LIMIT -> decision.withIfPresent("team", task.step.occurrence.job.spec.team());
            default -> describeWorkers(decision, count(task.step, now));
        }
        return decision;
    }

    private static void describeRun(Decision decision, Run run, long nowMillis) {
        PoolWorker worker = run.worker;
        decision.with("run", run.number)
                .with("worker", worker.id)
                .with("phase", run.phase.name())
                .with("age", nowMillis - run.startedMillis)
                .with("confirmed", run.isConfirmed())
                .with("stop", stopState(run))
                .with("ended", worker.ended)
                .with("listed", worker.listed)
                .with("mayRestart", worker.mayRestart())
                .with("answerAge", worker.answerAgeMillis(nowMillis))
                .with("missedCalls", worker.missedCalls);
    }

    private static String stopState(Run run) {
        if (run.stopAnswered) {
            return "answered";
        }
        return run.stopSentMillis >= run.startedMillis ? "unanswered" : "not-sent";
    }

    private void describeUnseen(Decision decision, long nowMillis) {
        Optional<PoolWorker> last = state.unresolvedWorkers.stream()
                .max(Comparator.comparingLong((PoolWorker worker) -> worker.lease.expiryMillis())
                        .thenComparing(worker -> worker.id, Comparator.reverseOrder()));
        decision.with("unresolvedWorkers", state.unresolvedWorkers.size())
                .withIfPresent("worker", last.map(worker -> worker.id))
                .withIfPresent("listed", last.map(worker -> worker.listed))
                .withIfPresent("missedCalls", last.map(worker -> worker.missedCalls))
                .withIfPresent(
                        "leaseRemaining",
                        last.map(worker -> Math.max(nowMillis, worker.lease.expiryMillis()) - nowMillis))
                .with("registryComplete", nowMillis >= state.registryCompleteMillis)
                .with("foreignOrdersRemaining", Math.max(0, state.foreignOrdersUntilMillis - nowMillis));
    }

    private void describeWorkers(Decision decision, WorkerCounts counts) {
        decision.with("workers", state.workers.size())
                .with("suiting", counts.suiting)
                .with("withRoom", counts.withRoom)
                .with("advised", counts.advised)
                .with("allowed", counts.allowed)
                .with("denied", counts.denied)
                .with("ready", counts.ready)
                .with("silent", counts.silent)
                .with("paused", counts.paused);
    }

    private static Run latestRun(JobTaskState task) {
        return task.runs.stream()
                .max(Comparator.comparingInt(run -> run.number))
                .orElseThrow();
    }

    private WorkerCounts count(JobStepState step, Moment now) {
        WorkerCounts counts = new WorkerCounts();
        ResourceAmount demand = step.spec.reservedDemand();
        for (PoolWorker worker : state.workers.values()) {
            counts.silent += worker.missedCalls > 0 || worker.ended ? 1 : 0;
            counts.paused += worker.isPaused(now.steadyMillis()) ? 1 : 0;
            if (!worker.suits(step.spec, now.steadyMillis())) {
                continue;
            }
            counts.suiting++;
            counts.allowed += step.advice.allows(worker) ? 1 : 0;
            counts.denied += step.advice.denies(worker) ? 1 : 0;
            if (!demand.fitsIn(worker.freeResources()) || !worker.isBelowTaskLimit(step)) {
                continue;
            }
            counts.withRoom++;
            if (advice.allows(step, worker, now.steadyMillis())) {
                counts.advised++;
                counts.ready += isReady(worker, now.steadyMillis()) ? 1 : 0;
            }
        }
        return counts;
    }

    private static boolean isReady(PoolWorker worker, long nowMillis) {
        return worker.hasFreshAnswer(nowMillis)
                && worker.lease.isClockKnown()
                && !worker.isOnProbation()
                && worker.startsInFlight < Placer.MAX_STARTS_IN_FLIGHT;
    }

    /**
     * How many workers meet each of the conditions, which are checked in this order.
     */
    private static final class WorkerCounts {
        private int suiting;
        private int withRoom;
        private int advised;
        /** The number of suiting workers on which advice allows the step, with a valid ticket or without one. */
        private int allowed;
        /** The number of suiting workers on which advice does not allow the step. */
        private int denied;

        private int ready;
        private int silent;
        private int paused;
    }
}
