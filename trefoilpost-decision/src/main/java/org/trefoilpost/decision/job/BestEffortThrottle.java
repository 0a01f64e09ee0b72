package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;

/**
 * Slows down best-effort tasks on workers where the response times of a serving task approach its target.
 */
final class BestEffortThrottle {
    /** Time between two checks of the response times. */
    private static final long TICK_INTERVAL_MILLIS = 200;

    private static final double SLOW_DOWN_TARGET_SHARE = 0.8;
    private static final double SPEED_UP_TARGET_SHARE = 0.5;
    private static final int SPEED_UP_STEP_PERCENT = 15;
    private static final int MIN_USEFUL_PACE_PERCENT = 10;
    private static final long MIN_CHANGE_INTERVAL_MILLIS = 600;

    private final PoolState state;
    private final OrderSender orderSender;
    private final Map<PoolWorker, Long> changedMillis = new HashMap<>();
    private long lastTickMillis;

    BestEffortThrottle(PoolState state, OrderSender orderSender) {
        this.state = state;
        this.orderSender = orderSender;
    }

    /**
     * Adjusts the pace of the best-effort tasks on each worker, if {@link #TICK_INTERVAL_MILLIS} have passed.
     */
    void tickIfDue(Moment now) {
        if (now.steadyMillis() - lastTickMillis < TICK_INTERVAL_MILLIS) {
            return;
        }
        lastTickMillis = now.steadyMillis();
        changedMillis.keySet().retainAll(state.workers.values());
        for (PoolWorker worker : state.workers.values()) {
            long lastChangeMillis = changedMillis.getOrDefault(worker, Long.MIN_VALUE / 2);
            if (now.steadyMillis() - lastChangeMillis >= MIN_CHANGE_INTERVAL_MILLIS) {
                adjust(worker, now.steadyMillis());
            }
        }
    }

    private void adjust(PoolWorker worker, long nowMillis) {
        List<Run> bestEffortRuns = new ArrayList<>();
        double worstTargetShare = 0;
        for (Run run : worker.runs.values()) {
            StepSpec spec = run.task.step.spec;
            if (run.phase != RunPhase.RUNNING) {
                continue;
            }
            if (spec.bestEffort()) {
                bestEffortRuns.add(run);
            } else if (spec.targetMillis() > 0) {
                worstTargetShare = Math.max(worstTargetShare, (double) run.load / spec.targetMillis());
            }
        }
        for (Run run : bestEffortRuns) {
            OptionalInt percent = percentToOrder(run.pace, worstTargetShare, nowMillis);
            if (percent.isPresent()) {
                changedMillis.put(worker, nowMillis);
                orderSender.pace(run, percent.getAsInt());
            }
        }
    }

    /**
     * Returns the pace to order; empty if the run has it, if an order is under way, or if the pace is not known but does no harm.
     */
    private static OptionalInt percentToOrder(RunPace pace, double worstTargetShare, long nowMillis) {
        boolean harmless = worstTargetShare <= SLOW_DOWN_TARGET_SHARE && worstTargetShare >= SPEED_UP_TARGET_SHARE;
        if (pace.isOrderInFlight() || pace == RunPace.UNKNOWN && harmless) {
            return OptionalInt.empty();
        }
        boolean certain = pace.isCertain(nowMillis);
        boolean undisturbed = worstTargetShare == 0;
        int percent = !certain && undisturbed ? RunPace.FULL_PERCENT : targetPercent(pace.percent(), worstTargetShare);
        return certain && percent == pace.percent() ? OptionalInt.empty() : OptionalInt.of(percent);
    }

    private static int targetPercent(int percent, double worstTargetShare) {
        if (worstTargetShare > SLOW_DOWN_TARGET_SHARE) {
            int halvedPercent = percent / 2;
            return halvedPercent < MIN_USEFUL_PACE_PERCENT ? 0 : halvedPercent;
        }
        return worstTargetShare < SPEED_UP_TARGET_SHARE
                ? Math.min(RunPace.FULL_PERCENT, percent + SPEED_UP_STEP_PERCENT)
                : percent;
    }
}
