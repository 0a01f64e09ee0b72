package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Evacuates workers that are draining or are to be taken out of service.
 *
 * <p>Tasks that are neither long-running nor best-effort may complete, except that checkpointing ones are stopped
 * shortly before a draining worker leaves. Long-running tasks are stopped once a worker that has answered lately has room for
 * them: on a draining worker whatever their budget, and shortly before it leaves in any case, else as far as the availability
 * budget of their step allows. Best-effort tasks are stopped in the same way, but immediately on a draining worker and if
 * their step has no budget. All of them start again on other workers.
 */
final class WorkerEvacuator {
    private static final long CHECKPOINT_MARGIN_MILLIS = 600;
    private static final long ROUND_INTERVAL_MILLIS = 60;

    private final PoolState state;
    private final OrderSender orderSender;
    private final PlacementAdvice advice;
    private final WorkerInquiries inquiries;
    /** The room on other workers, null as long as the present tick has not asked for it. */
    private EvacuationRoom room;

    private long lastRoundMillis = Long.MIN_VALUE / 2;

    WorkerEvacuator(PoolState state, OrderSender orderSender, PlacementAdvice advice) {
        this.state = state;
        this.orderSender = orderSender;
        this.advice = advice;
        this.inquiries = new WorkerInquiries(orderSender);
    }

    /**
     * Stops the runs that may be stopped now, if {@link #ROUND_INTERVAL_MILLIS} have passed.
     */
    void tickIfDue(Moment now) {
        if (now.steadyMillis() - lastRoundMillis < ROUND_INTERVAL_MILLIS) {
            return;
        }
        lastRoundMillis = now.steadyMillis();
        room = null;
        inquiries.beginRound();
        for (PoolWorker worker : state.workers.values()) {
            if (worker.registration.draining() && worker.drainingSinceMillis == Long.MAX_VALUE) {
                worker.drainingSinceMillis = now.steadyMillis();
            }
            if (worker.evacuating || worker.registration.draining()) {
                stopRuns(worker, now);
            }
        }
    }

    /**
     * Returns whether a worker has no runs, and all run ends that it reported are stored and acknowledged.
     */
    static boolean isEmpty(PoolWorker worker) {
        return worker.runs.isEmpty() && worker.startsInFlight == 0 && worker.ackedEnd >= worker.processedEnd;
    }

    private void stopRuns(PoolWorker worker, Moment now) {
        List<Run> runs = new ArrayList<>(worker.runs.values());
        for (Run run : runs) {
            if (run.phase == RunPhase.RUNNING && mayStop(run, worker, now)) {
                orderSender.stop(run, worker.evacuating ? "evacuated" : "worker-leaving", now);
            }
        }
    }

    private boolean mayStop(Run run, PoolWorker worker, Moment now) {
        StepSpec spec = run.task.step.spec;
        if (!spec.longRunning() && !spec.bestEffort()) {
            return spec.checkpointing() && isLeavingSoon(worker, now);
        }
        if (spec.bestEffort() && (worker.registration.draining() || spec.maxUnavailable() == 0)) {
            return true;
        }
        if (worker.registration.draining()) {
            return isLeavingSoon(worker, now) || findsRoom(run, now);
        }
        // This task may have become ready since its worker last answered, so it counts as ready.
        int othersNotReady = run.task.step.notReadyTasksExcept(run.task, now.steadyMillis());
        return othersNotReady < Math.max(1, spec.maxUnavailable()) && findsRoom(run, now);
    }

    private boolean isLeavingSoon(PoolWorker worker, Moment now) {
        return worker.drainingSinceMillis != Long.MAX_VALUE
                && now.steadyMillis()
                        >= worker.drainingSinceMillis + state.timeouts.minDrainMillis() - CHECKPOINT_MARGIN_MILLIS;
    }

    /**
     * Takes the room for the task of a run on another worker, and returns whether there is one that has answered lately. If there
     * is none, asks others, so that there may be one soon.
     */
    private boolean findsRoom(Run run, Moment now) {
        if (room == null) {
            room = EvacuationRoom.besideWaitingTasks(state, advice, now.steadyMillis());
        }
        Optional<PoolWorker> other = room.take(run.task.step);
        if (other.isEmpty()) {
            advice.wantOtherWorker(run.task.step);
            inquiries.awaitRoom(run.task.step, room.workersToAsk(run.task.step), now.steadyMillis());
            return false;
        }
        state.actions.logDecision(run.describe(Decision.of("run-evacuated"))
                .with("roomOn", other.get().id)
                .with("reportAge", other.get().answerAgeMillis(now.steadyMillis())));
        return true;
    }
}
