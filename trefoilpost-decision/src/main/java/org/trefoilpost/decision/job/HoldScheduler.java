package org.trefoilpost.decision.job;

import java.util.ArrayList;

/**
 * Decides when each worker is asked what runs, which also renews its lease, and gives up workers whose lease has run out.
 */
final class HoldScheduler {
    private static final long RUNNING_POLL_WAIT_MILLIS = 800;
    private static final long UNSETTLED_POLL_WAIT_MILLIS = 100;
    /** Time in milliseconds for which a worker with ends that are not stored yet is left alone. */
    private static final long MAX_STORE_WAIT_MILLIS = 400;

    private final PoolState state;
    private final OrderSender orderSender;
    private final RunTracker runTracker;

    HoldScheduler(PoolState state, OrderSender orders, RunTracker results) {
        this.state = state;
        this.orderSender = orders;
        this.runTracker = results;
    }

    /**
     * Sends what is due.
     */
    void tick(Moment now) {
        long nowMillis = now.steadyMillis();
        for (PoolWorker slot : new ArrayList<>(state.workers.values())) {
            for (Run run : slot.runs.values()) {
                if (!run.wanted) {
                    orderSender.sendStop(run, nowMillis);
                }
            }
            if (isLeaseExpired(slot, nowMillis)) {
                runTracker.releaseRuns(slot, "lease-lapsed", now);
            }
            if (isDue(slot, nowMillis)) {
                orderSender.hold(slot, waitMillis(slot), nowMillis);
            }
            removeIfUnlisted(slot, nowMillis);
        }
    }

    private boolean isLeaseExpired(PoolWorker slot, long nowMillis) {
        boolean silent = slot.missedCalls > 0 || !slot.fenced || slot.ended;
        boolean concerned = !slot.runs.isEmpty() || state.unresolvedWorkers.contains(slot);
        return silent && concerned && nowMillis > slot.leaseExpiryMillis();
    }

    private static boolean isDue(PoolWorker slot, long nowMillis) {
        if (slot.ended || slot.holdInFlight || nowMillis < slot.nextHoldMillis) {
            return false;
        }
        boolean endsUnstored = slot.processedEnd > slot.storedEnd;
        if (endsUnstored && !slot.holdUrgent && nowMillis - slot.lastAnswerMillis < MAX_STORE_WAIT_MILLIS) {
            return false;
        }
        boolean busy = !slot.runs.isEmpty() || slot.storedEnd > slot.ackedEnd;
        return !slot.fenced || slot.missedCalls > 0 || busy;
    }

    private static long waitMillis(PoolWorker slot) {
        if (!slot.fenced || slot.missedCalls > 0 || slot.holdUrgent || slot.processedEnd > slot.storedEnd) {
            return 0;
        }
        for (Run run : slot.runs.values()) {
            if (run.phase != RunPhase.RUNNING) {
                return UNSETTLED_POLL_WAIT_MILLIS;
            }
        }
        return slot.runs.isEmpty() ? 0 : RUNNING_POLL_WAIT_MILLIS;
    }

    private void removeIfUnlisted(PoolWorker slot, long nowMillis) {
        boolean over = slot.ended || nowMillis > slot.leaseExpiryMillis();
        if (!slot.listed && slot.runs.isEmpty() && over && !slot.holdInFlight) {
            state.workers.remove(slot.id);
            state.unresolvedWorkers.remove(slot);
        }
    }
}
