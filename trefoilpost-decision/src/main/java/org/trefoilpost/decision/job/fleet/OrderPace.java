package org.trefoilpost.decision.job.fleet;

/**
 * Keeps orders about machines below the rate that the platform accepts.
 */
final class OrderPace {
    /** The share of the accepted rate that is used. */
    private static final double SHARE = 0.8;

    private static final long SECOND_MILLIS = 1_000;

    private final double perSecond;
    private double allowance;
    private long lastMillis = Long.MIN_VALUE / 2;

    OrderPace(double perSecond) {
        this.perSecond = Math.max(1, perSecond * SHARE);
        this.allowance = this.perSecond;
    }

    /**
     * Returns whether an order may be given now, and counts it.
     */
    boolean take(long nowMillis) {
        double gained = (double) (nowMillis - lastMillis) * perSecond / SECOND_MILLIS;
        allowance = Math.min(perSecond, allowance + gained);
        lastMillis = nowMillis;
        if (allowance < 1) {
            return false;
        }
        allowance--;
        return true;
    }
}
