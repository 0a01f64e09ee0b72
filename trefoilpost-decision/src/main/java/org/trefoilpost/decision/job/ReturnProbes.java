package org.trefoilpost.decision.job;

import java.util.List;

/**
 * Calls the workers of which only the registry says that they are gone. One that starts again under its identifier all the same is
 * noticed so before the registry lists it, refuses the orders of earlier owners, and is told to refuse the released starts.
 */
final class ReturnProbes {
    /** Time after which the last of the calls that may be under way to a worker is likely to have failed. */
    private static final long CALL_MILLIS = 800;
    /** Calls that may be under way to a worker, so that one is always about to arrive. */
    private static final int MAX_PROBES_OF_WORKER = 8;
    /** Calls that may be under way in all, unless there are more workers. */
    private static final int MAX_PROBES = 32;

    private final PoolState state;
    private final OrderSender orderSender;

    ReturnProbes(PoolState state, OrderSender orderSender) {
        this.state = state;
        this.orderSender = orderSender;
    }

    /**
     * Sends the calls that are due.
     */
    void tick(long nowMillis) {
        List<PoolWorker> probed = state.workers.values().stream()
                .filter(worker -> isNeeded(worker, nowMillis))
                .toList();
        if (probed.isEmpty()) {
            return;
        }
        int limit = Math.max(1, Math.min(MAX_PROBES_OF_WORKER, MAX_PROBES / probed.size()));
        for (PoolWorker worker : probed) {
            boolean due = nowMillis - worker.probeSentMillis >= CALL_MILLIS / limit;
            if (due && !worker.holdInFlight && worker.probesInFlight < limit) {
                orderSender.probe(worker, nowMillis);
            }
        }
    }

    /**
     * Returns whether a worker is to be called: it may start again, and an order that is on its way may then start a task that
     * runs elsewhere.
     */
    boolean isNeeded(PoolWorker worker, long nowMillis) {
        boolean foreignOrders = nowMillis < state.foreignOrdersUntilMillis;
        boolean released = worker.mayReturn && (foreignOrders || worker.hasReleasedStarts(nowMillis));
        return (released || foreignOrders && isKnownFromStoreOnly(worker)) && !isReplaced(worker);
    }

    /** Returns whether a worker has ended that the registry has not listed since this owner took over. */
    private boolean isKnownFromStoreOnly(PoolWorker worker) {
        return worker.ended
                && !worker.listed
                && !worker.incarnation.isKnown()
                && state.workers.values().stream().anyMatch(other -> other.incarnation.isKnown());
    }

    private boolean isReplaced(PoolWorker worker) {
        return state.workers.values().stream()
                .anyMatch(other -> other.listed && other.registration.replaces(worker.registration));
    }
}
