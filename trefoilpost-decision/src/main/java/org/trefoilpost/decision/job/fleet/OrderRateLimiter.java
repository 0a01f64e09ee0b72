package org.trefoilpost.decision.job.fleet;

/**
 * Limits the rate of orders for machines to a share of what the platform accepts, as a token bucket that holds one
 * second's orders, and holds back all orders while none are allowed.
 */
final class OrderRateLimiter {
    /** The share of the accepted rate that orders may use. */
    private static final double USED_RATE_SHARE = 0.8;

    private static final long MILLIS_PER_SECOND = 1_000;

    private final double ordersPerSecond;
    private double availableOrders;
    private long lastRefillMillis = Long.MIN_VALUE / 2;
    private boolean allowed = true;

    OrderRateLimiter(double acceptedPerSecond) {
        this.ordersPerSecond = Math.max(1, acceptedPerSecond * USED_RATE_SHARE);
        this.availableOrders = this.ordersPerSecond;
    }

    /**
     * Sets whether orders are allowed at all.
     */
    void allow(boolean ordersAllowed) {
        allowed = ordersAllowed;
    }

    /**
     * Returns whether an order may be sent now, and counts it if so.
     */
    boolean tryAcquire(long nowMillis) {
        double refill = (double) (nowMillis - lastRefillMillis) * ordersPerSecond / MILLIS_PER_SECOND;
        availableOrders = Math.min(ordersPerSecond, availableOrders + refill);
        lastRefillMillis = nowMillis;
        if (!allowed || availableOrders < 1) {
            return false;
        }
        availableOrders--;
        return true;
    }
}
