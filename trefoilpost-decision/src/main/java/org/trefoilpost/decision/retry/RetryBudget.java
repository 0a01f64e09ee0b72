package org.trefoilpost.decision.retry;

/**
 * The retries that a pool may still make, a share of its first attempts.
 *
 * <p>The attempts never exceed {@code (1 + share) * requests + burst}. One thread owns a budget.
 */
public final class RetryBudget {
    /** The share of the first attempts that may be retried. */
    public static final double DEFAULT_SHARE = 0.1;
    /** The retries that may be made before the first attempts have earned any. */
    public static final int DEFAULT_BURST = 5;

    private final double share;
    private final double burst;
    private double tokens;

    private RetryBudget(double share, int burst) {
        this.share = share;
        this.burst = burst;
        this.tokens = burst;
    }

    /**
     * Obtains a full budget.
     *
     * @param share  the retries that a first attempt earns, from 0 to 1
     * @param burst  the most retries that can be saved up, not negative
     * @return the budget, not null
     * @throws IllegalArgumentException if the share or the burst is out of range
     */
    public static RetryBudget of(double share, int burst) {
        if (!(share >= 0 && share <= 1) || burst < 0) {
            throw new IllegalArgumentException("a retry budget of share " + share + " and burst " + burst);
        }
        return new RetryBudget(share, burst);
    }

    /**
     * Returns a full budget of the default share and burst.
     *
     * @return the budget, not null
     */
    public static RetryBudget ofDefaults() {
        return of(DEFAULT_SHARE, DEFAULT_BURST);
    }

    /**
     * Records the first attempt of a request.
     */
    public void firstAttempt() {
        tokens = Math.min(Math.max(burst, 1), tokens + share);
    }

    /**
     * Returns whether a retry would be allowed now.
     *
     * @return true if the budget is not spent
     */
    public boolean available() {
        return tokens >= 1;
    }

    /**
     * Takes one retry out of the budget.
     *
     * @return true if the retry may be made
     */
    public boolean tryRetry() {
        if (!available()) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
