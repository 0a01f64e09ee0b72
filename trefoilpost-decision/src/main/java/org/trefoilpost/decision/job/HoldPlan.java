package org.trefoilpost.decision.job;

import java.util.ArrayList;

/**
 * Decides when each worker is asked what runs, which also renews its lease, and gives up workers whose lease has run out.
 */
final class HoldPlan {
    private static final long LONG_WAIT_MILLIS = 800;
    private static final long SHORT_WAIT_MILLIS = 100;
    /** Time in milliseconds for which a worker with ends that are not stored yet is left alone. */
    private static final long STORE_WAIT_MILLIS = 400;

    private final PoolState state;
    private final Orders orders;
    private final RunResults results;

    HoldPlan(PoolState state, Orders orders, RunResults results) {
        this.state = state;
        this.orders = orders;
        this.results = results;
    }

    /**
     * Sends what is due.
     */
    void tick(Moment now) {
        long nowMillis = now.steadyMillis();
        for (WorkerSlot slot : new ArrayList<>(state.slots.values())) {
            for (Run run : slot.runs.values()) {
                if (!run.wanted) {
                    orders.sendStop(run, nowMillis);
                }
            }
            if (isLapsed(slot, nowMillis)) {
                results.release(slot, "lease-lapsed", now);
            }
            if (isDue(slot, nowMillis)) {
                orders.hold(slot, waitMillis(slot), nowMillis);
            }
            forget(slot, nowMillis);
        }
    }

    private boolean isLapsed(WorkerSlot slot, long nowMillis) {
        boolean silent = slot.missedCalls > 0 || !slot.fenced || slot.gone;
        boolean concerned = !slot.runs.isEmpty() || state.unresolved.contains(slot);
        return silent && concerned && nowMillis > slot.lapsedByMillis();
    }

    private static boolean isDue(WorkerSlot slot, long nowMillis) {
        if (slot.gone || slot.holdInFlight || nowMillis < slot.nextHoldMillis) {
            return false;
        }
        boolean endsUnstored = slot.processedEnd > slot.storedEnd;
        if (endsUnstored && !slot.holdUrgent && nowMillis - slot.lastAnswerMillis < STORE_WAIT_MILLIS) {
            return false;
        }
        boolean busy = !slot.runs.isEmpty() || slot.storedEnd > slot.ackedEnd;
        return !slot.fenced || slot.missedCalls > 0 || busy;
    }

    private static long waitMillis(WorkerSlot slot) {
        if (!slot.fenced || slot.missedCalls > 0 || slot.holdUrgent || slot.processedEnd > slot.storedEnd) {
            return 0;
        }
        for (Run run : slot.runs.values()) {
            if (run.phase != RunPhase.RUNNING) {
                return SHORT_WAIT_MILLIS;
            }
        }
        return slot.runs.isEmpty() ? 0 : LONG_WAIT_MILLIS;
    }

    private void forget(WorkerSlot slot, long nowMillis) {
        boolean over = slot.gone || nowMillis > slot.lapsedByMillis();
        if (!slot.listed && slot.runs.isEmpty() && over && !slot.holdInFlight) {
            state.slots.remove(slot.id);
            state.unresolved.remove(slot);
        }
    }
}
