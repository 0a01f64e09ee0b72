package org.trefoilpost.decision.job;

import java.util.Optional;

/**
 * What is known of the pace of a run, in percent of full speed. It follows from the answers of the worker: an order that was not
 * answered may have been carried out, may not have been, or may still be.
 */
final class RunPace {
    static final int FULL_PERCENT = 100;

    /** The pace of a run that this owner has started. */
    static final RunPace FULL = new RunPace(FULL_PERCENT, true, Long.MIN_VALUE, Long.MIN_VALUE, Optional.empty());

    /** The pace of a run to which an earlier owner may have given orders. */
    static final RunPace UNKNOWN = new RunPace(0, false, Long.MIN_VALUE, Long.MIN_VALUE, Optional.empty());

    private final int percent;
    private final boolean confirmed;
    private final long confirmedMillis;
    /** Until when an order without an answer may be carried out. */
    private final long lateOrderUntilMillis;
    /** The pace before the order that is under way; empty if none is. */
    private final Optional<RunPace> former;

    private RunPace(
            int percent, boolean confirmed, long confirmedMillis, long lateOrderUntilMillis, Optional<RunPace> former) {
        this.percent = percent;
        this.confirmed = confirmed;
        this.confirmedMillis = confirmedMillis;
        this.lateOrderUntilMillis = lateOrderUntilMillis;
        this.former = former;
    }

    /**
     * Returns the pace, the lowest possible one if it is not certain.
     */
    int percent() {
        return percent;
    }

    /**
     * Returns whether the run has the pace. Once an order without an answer can no longer be carried out, that is certain only after
     * another order, as the late one may have come after those that were answered.
     */
    boolean isCertain(long nowMillis) {
        return confirmed && (nowMillis < lateOrderUntilMillis || confirmedMillis >= lateOrderUntilMillis);
    }

    /**
     * Returns whether an order has not been answered and may still be.
     */
    boolean isOrderInFlight() {
        return former.isPresent();
    }

    /**
     * Returns the pace while an order is under way.
     */
    RunPace ordered(int newPercent) {
        return new RunPace(newPercent, false, confirmedMillis, lateOrderUntilMillis, Optional.of(this));
    }

    /**
     * Returns the pace after the answer to the order that is under way, or after its time has passed without one.
     */
    RunPace answered(OrderResult result, long nowMillis) {
        if (former.isEmpty()) {
            return this;
        }
        return switch (result) {
            case OK -> new RunPace(percent, true, nowMillis, lateOrderUntilMillis, Optional.empty());
            case NO_ANSWER -> afterLostOrder(former.get(), nowMillis);
            default -> former.get();
        };
    }

    private RunPace afterLostOrder(RunPace before, long nowMillis) {
        int lowestPercent = before == UNKNOWN ? percent : Math.min(percent, before.percent);
        long lateUntilMillis = nowMillis + Run.MAX_ORDER_DELAY_MILLIS;
        return new RunPace(lowestPercent, false, confirmedMillis, lateUntilMillis, Optional.empty());
    }
}
