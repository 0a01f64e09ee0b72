package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Slows down tasks that fill beside a serving task whose response times come close to its target.
 */
final class BestEffortThrottle {
    /** Time in milliseconds between two looks at the response times. */
    static final long TICK_INTERVAL_MILLIS = 200;

    private static final double SLOW_DOWN_TARGET_SHARE = 0.8;
    private static final double SPEED_UP_TARGET_SHARE = 0.5;
    private static final int SPEED_UP_STEP_PERCENT = 15;
    private static final int MIN_USEFUL_PACE_PERCENT = 10;
    private static final long MIN_CHANGE_INTERVAL_MILLIS = 600;

    private final PoolState state;
    private final OrderSender orderSender;
    private final Map<PoolWorker, Long> changedMillis = new HashMap<>();

    BestEffortThrottle(PoolState state, OrderSender orders) {
        this.state = state;
        this.orderSender = orders;
    }

    /**
     * Adjusts the fillers of every worker.
     */
    void tick(Moment now) {
        changedMillis.keySet().retainAll(state.workers.values());
        for (PoolWorker slot : state.workers.values()) {
            long changed = changedMillis.getOrDefault(slot, Long.MIN_VALUE / 2);
            if (now.steadyMillis() - changed >= MIN_CHANGE_INTERVAL_MILLIS) {
                adjust(slot, now.steadyMillis());
            }
        }
    }

    private void adjust(PoolWorker slot, long nowMillis) {
        List<Run> fillers = new ArrayList<>();
        double worst = 0;
        for (Run run : slot.runs.values()) {
            StepSpec spec = run.task.step.spec;
            if (run.phase != RunPhase.RUNNING) {
                continue;
            }
            if (spec.bestEffort()) {
                fillers.add(run);
            } else if (spec.targetMillis() > 0) {
                worst = Math.max(worst, (double) run.load / spec.targetMillis());
            }
        }
        for (Run filler : fillers) {
            int wanted = targetPacePercent(filler.pacePercent, worst);
            if (wanted != filler.pacePercent) {
                changedMillis.put(slot, nowMillis);
                orderSender.pace(filler, wanted);
            }
        }
    }

    private static int targetPacePercent(int pace, double worst) {
        if (worst > SLOW_DOWN_TARGET_SHARE) {
            int half = pace / 2;
            return half < MIN_USEFUL_PACE_PERCENT ? 0 : half;
        }
        return worst < SPEED_UP_TARGET_SHARE ? Math.min(PoolWorker.FULL_PACE, pace + SPEED_UP_STEP_PERCENT) : pace;
    }
}
