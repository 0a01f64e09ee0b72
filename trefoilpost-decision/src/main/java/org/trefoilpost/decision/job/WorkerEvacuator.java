package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.List;

/**
 * Empties workers that are about to leave or to be taken out of service.
 *
 * <p>Ordinary tasks run to their end. Tasks that last are stopped where the step's availability allows it, and start
 * again elsewhere.
 */
final class WorkerEvacuator {
    private static final long CHECKPOINT_MARGIN_MILLIS = 600;

    private final PoolState state;
    private final OrderSender orderSender;

    WorkerEvacuator(PoolState state, OrderSender orders) {
        this.state = state;
        this.orderSender = orders;
    }

    /**
     * Stops what may be stopped now.
     */
    void tick(Moment now) {
        for (PoolWorker slot : state.workers.values()) {
            if (slot.registration.draining() && slot.drainingSinceMillis == Long.MAX_VALUE) {
                slot.drainingSinceMillis = now.steadyMillis();
            }
            if (slot.evacuating || slot.registration.draining()) {
                stopRuns(slot, now);
            }
        }
    }

    /**
     * Returns whether nothing runs on a worker and all its ends are stored and acknowledged.
     */
    static boolean isEmpty(PoolWorker slot) {
        return slot.runs.isEmpty() && slot.startsInFlight == 0 && slot.ackedEnd >= slot.processedEnd;
    }

    private void stopRuns(PoolWorker slot, Moment now) {
        List<Run> runs = new ArrayList<>(slot.runs.values());
        for (Run run : runs) {
            if (run.phase == RunPhase.RUNNING && mayStop(run, slot, now)) {
                orderSender.stop(run, slot.evacuating ? "evacuated" : "worker-leaving", now);
            }
        }
    }

    private boolean mayStop(Run run, PoolWorker slot, Moment now) {
        StepSpec spec = run.task.step.spec;
        long nowMillis = now.steadyMillis();
        if (!spec.longRunning() && !spec.bestEffort()) {
            long leaving = slot.drainingSinceMillis == Long.MAX_VALUE
                    ? Long.MAX_VALUE
                    : slot.drainingSinceMillis + state.timeouts.minDrainMillis() - CHECKPOINT_MARGIN_MILLIS;
            return spec.checkpointing() && nowMillis >= leaving;
        }
        if (slot.registration.draining() || spec.bestEffort() && spec.maxUnavailable() == 0) {
            return true;
        }
        // A task that was not at work when its worker last answered may be by now, so it counts as if it were.
        int othersAway = run.task.step.notReadyTasksExcept(run.task, nowMillis);
        return othersAway < Math.max(1, spec.maxUnavailable()) && fitsOtherWorker(run, slot, nowMillis);
    }

    private boolean fitsOtherWorker(Run run, PoolWorker left, long nowMillis) {
        JobStepState step = run.task.step;
        for (PoolWorker slot : state.workers.values()) {
            if (slot != left
                    && slot.suits(step.spec, nowMillis)
                    && slot.isBelowTaskLimit(step)
                    && step.spec.reservedDemand().fitsIn(slot.freeResources())) {
                return true;
            }
        }
        return false;
    }
}
