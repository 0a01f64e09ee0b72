package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Slows down tasks that fill beside a serving task whose response times come close to its target.
 */
final class Pacer {
    /** Time in milliseconds between two looks at the response times. */
    static final long TICK_MILLIS = 200;

    private static final double BACK_OFF_SHARE = 0.8;
    private static final double SPEED_UP_SHARE = 0.5;
    private static final int STEP_UP_PERCENT = 15;
    private static final int LOWEST_USEFUL_PERCENT = 10;
    private static final long MIN_GAP_MILLIS = 600;

    private final PoolState state;
    private final Orders orders;
    private final Map<WorkerSlot, Long> changedMillis = new HashMap<>();

    Pacer(PoolState state, Orders orders) {
        this.state = state;
        this.orders = orders;
    }

    /**
     * Adjusts the fillers of every worker.
     */
    void tick(Moment now) {
        changedMillis.keySet().retainAll(state.slots.values());
        for (WorkerSlot slot : state.slots.values()) {
            long changed = changedMillis.getOrDefault(slot, Long.MIN_VALUE / 2);
            if (now.steadyMillis() - changed >= MIN_GAP_MILLIS) {
                adjust(slot, now.steadyMillis());
            }
        }
    }

    private void adjust(WorkerSlot slot, long nowMillis) {
        List<Run> fillers = new ArrayList<>();
        double worst = 0;
        for (Run run : slot.runs.values()) {
            StepSpec spec = run.task.step.spec;
            if (run.phase != RunPhase.RUNNING) {
                continue;
            }
            if (spec.fills()) {
                fillers.add(run);
            } else if (spec.targetMillis() > 0) {
                worst = Math.max(worst, (double) run.load / spec.targetMillis());
            }
        }
        for (Run filler : fillers) {
            int wanted = wanted(filler.pace, worst);
            if (wanted != filler.pace) {
                changedMillis.put(slot, nowMillis);
                orders.pace(filler, wanted);
            }
        }
    }

    private static int wanted(int pace, double worst) {
        if (worst > BACK_OFF_SHARE) {
            int half = pace / 2;
            return half < LOWEST_USEFUL_PERCENT ? 0 : half;
        }
        return worst < SPEED_UP_SHARE ? Math.min(WorkerSlot.FULL_PACE, pace + STEP_UP_PERCENT) : pace;
    }
}
