package org.trefoilpost.decision.job.fleet;

/**
 * Keeps orders about machines below the rate that the platform accepts.
 */
final class OrderRateLimiter {
    /** The share of the accepted rate that is used. */
    private static final double USED_RATE_SHARE = 0.8;

    private static final long MILLIS_PER_SECOND = 1_000;

    private final double ordersPerSecond;
    private double availableOrders;
    private long lastRefillMillis = Long.MIN_VALUE / 2;

    OrderRateLimiter(double perSecond) {
        this.ordersPerSecond = Math.max(1, perSecond * USED_RATE_SHARE);
        this.availableOrders = this.ordersPerSecond;
    }

    /**
     * Returns whether an order may be given now, and counts it.
     */
    boolean tryAcquire(long nowMillis) {
        double gained = (double) (nowMillis - lastRefillMillis) * ordersPerSecond / MILLIS_PER_SECOND;
        availableOrders = Math.min(ordersPerSecond, availableOrders + gained);
        lastRefillMillis = nowMillis;
        if (availableOrders < 1) {
            return false;
        }
        availableOrders--;
        return true;
    }
}
