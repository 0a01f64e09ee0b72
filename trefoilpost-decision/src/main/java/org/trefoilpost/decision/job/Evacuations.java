package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.List;

/**
 * Empties workers that are about to leave or to be taken out of service.
 *
 * <p>Ordinary tasks run to their end. Tasks that last are stopped where the step's availability allows it, and start
 * again elsewhere.
 */
final class Evacuations {
    private static final long SAVE_BEFORE_LEAVING_MILLIS = 600;

    private final PoolState state;
    private final Orders orders;

    Evacuations(PoolState state, Orders orders) {
        this.state = state;
        this.orders = orders;
    }

    /**
     * Stops what may be stopped now.
     */
    void tick(Moment now) {
        for (WorkerSlot slot : state.slots.values()) {
            if (slot.report.draining() && slot.drainingSinceMillis == Long.MAX_VALUE) {
                slot.drainingSinceMillis = now.steadyMillis();
            }
            if (slot.evacuating || slot.report.draining()) {
                empty(slot, now);
            }
        }
    }

    /**
     * Returns whether nothing runs on a worker and all its ends are stored and acknowledged.
     */
    static boolean isEmpty(WorkerSlot slot) {
        return slot.runs.isEmpty() && slot.startsInFlight == 0 && slot.ackedEnd >= slot.processedEnd;
    }

    private void empty(WorkerSlot slot, Moment now) {
        List<Run> runs = new ArrayList<>(slot.runs.values());
        for (Run run : runs) {
            if (run.phase == RunPhase.RUNNING && mayStop(run, slot, now)) {
                orders.stop(run, slot.evacuating ? "evacuated" : "worker-leaving", now);
            }
        }
    }

    private boolean mayStop(Run run, WorkerSlot slot, Moment now) {
        StepSpec spec = run.task.step.spec;
        long nowMillis = now.steadyMillis();
        if (!spec.longRunning() && !spec.fills()) {
            long leaving = slot.drainingSinceMillis == Long.MAX_VALUE
                    ? Long.MAX_VALUE
                    : slot.drainingSinceMillis + state.bounds.leaveMillis() - SAVE_BEFORE_LEAVING_MILLIS;
            return spec.checkpointing() && nowMillis >= leaving;
        }
        if (slot.report.draining() || spec.fills() && spec.mayMiss() == 0) {
            return true;
        }
        // A task that was not at work when its worker last answered may be by now, so it counts as if it were.
        int othersAway = run.task.step.awayBesides(run.task, nowMillis);
        return othersAway < Math.max(1, spec.mayMiss()) && roomElsewhere(run, slot, nowMillis);
    }

    private boolean roomElsewhere(Run run, WorkerSlot left, long nowMillis) {
        StepState step = run.task.step;
        for (WorkerSlot slot : state.slots.values()) {
            if (slot != left
                    && slot.suits(step.spec, nowMillis)
                    && slot.belowLimit(step)
                    && step.spec.reservedDemand().fitsIn(slot.free())) {
                return true;
            }
        }
        return false;
    }
}
