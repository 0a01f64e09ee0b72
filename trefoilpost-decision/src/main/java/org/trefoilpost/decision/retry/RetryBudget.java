package org.trefoilpost.decision.retry;

/**
 * Token bucket that limits the retries of a pool to a share of its first attempts.
 *
 * <p>The attempts never exceed {@code (1 + share) * requests + burst}. A budget is confined to one thread.
 */
public final class RetryBudget {
    /** The tokens that a first attempt earns; a retry takes one token. */
    public static final double DEFAULT_SHARE = 0.1;
    /** The tokens of a new budget, and the most that can accrue. */
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
     * @param share  the tokens that a first attempt earns, from 0 to 1
     * @param burst  the tokens of a new budget and, if more than 0, the most that can accrue, not negative
     * @return the budget, not null
     * @throws IllegalArgumentException if the share or the burst is out of range
     */
    public static RetryBudget of(double share, int burst) {
        if (!(share >= 0 && share <= 1) || burst < 0) {
            throw new IllegalArgumentException(
                    "retry budget needs a share from 0 to 1 and a burst of 0 or more, found share " + share + ", burst "
                            + burst);
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
     * Records the first attempt of a request, which earns a share of a token.
     */
    public void firstAttempt() {
        tokens = Math.min(Math.max(burst, 1), tokens + share);
    }

    /**
     * Returns whether a retry would be allowed now.
     *
     * @return true if the budget holds a token
     */
    public boolean available() {
        return tokens >= 1;
    }

    /**
     * Takes a token for a retry, if the budget holds one.
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
