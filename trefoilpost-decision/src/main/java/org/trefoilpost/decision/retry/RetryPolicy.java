package org.trefoilpost.decision.retry;

import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.trefoilpost.model.verdict.RefusalReason;
import org.trefoilpost.model.verdict.UncertaintyReason;
import org.trefoilpost.model.verdict.Verdict;

/**
 * Decides whether a request whose attempt failed is retried, with exponential back-off and full jitter.
 *
 * <p>A request that never started may always be retried; one that may have run only if it is repeatable. Each retry
 * needs a token of the pool's retry budget and enough time before the deadline.
 */
public final class RetryPolicy {
    private static final int DEFAULT_MAX_ATTEMPTS = 4;
    private static final long DEFAULT_BASE_DELAY_MILLIS = 20;
    private static final long DEFAULT_MAX_DELAY_MILLIS = 1_000;
    private static final RetryPolicy DEFAULTS =
            of(DEFAULT_MAX_ATTEMPTS, DEFAULT_BASE_DELAY_MILLIS, DEFAULT_MAX_DELAY_MILLIS);
    /** Keeps the shift of the delay from overflowing. */
    private static final int MAX_DOUBLINGS = 20;

    private final int maxAttempts;
    private final long baseDelayMillis;
    private final long maxDelayMillis;

    private RetryPolicy(int maxAttempts, long baseDelayMillis, long maxDelayMillis) {
        this.maxAttempts = maxAttempts;
        this.baseDelayMillis = baseDelayMillis;
        this.maxDelayMillis = maxDelayMillis;
    }

    /**
     * Returns the default policy.
     *
     * @return the policy, not null
     */
    public static RetryPolicy defaults() {
        return DEFAULTS;
    }

    /**
     * Obtains a policy.
     *
     * @param maxAttempts  the most attempts of a request, including the first, more than 0
     * @param baseDelayMillis  the longest delay before the first retry in milliseconds, not negative
     * @param maxDelayMillis  the longest delay before any retry in milliseconds, not less than the base
     * @return the policy, not null
     * @throws IllegalArgumentException if a value is out of its range
     */
    public static RetryPolicy of(int maxAttempts, long baseDelayMillis, long maxDelayMillis) {
        if (maxAttempts < 1 || baseDelayMillis < 0 || maxDelayMillis < baseDelayMillis) {
            throw new IllegalArgumentException("retry policy needs at least 1 attempt and 0 <= base delay <= max delay,"
                    + " found " + maxAttempts + " attempts, base delay " + baseDelayMillis + " ms, max delay "
                    + maxDelayMillis + " ms");
        }
        return new RetryPolicy(maxAttempts, baseDelayMillis, maxDelayMillis);
    }

    /**
     * Decides after a failed attempt; a decision to retry takes a token of the budget.
     *
     * @param request  the request with its failed attempts, not null
     * @param budget  the pool's budget, not null
     * @param random  the source of random numbers, not null
     * @param nowMillis  the present time in milliseconds
     * @return the decision, not null
     */
    public RetryDecision decide(RetryRequest request, RetryBudget budget, RandomGenerator random, long nowMillis) {
        int attempts = request.history().failures().size();
        Optional<UncertaintyReason> uncertainty = request.history().uncertainty();
        if (uncertainty.isPresent() && !request.repeatable()) {
            return giveUp(request, RefusalReason.WORKERS_REJECTED);
        }
        if (attempts >= maxAttempts) {
            return giveUp(request, RefusalReason.WORKERS_REJECTED);
        }
        long atMillis = nowMillis + delayMillis(attempts, random);
        if (atMillis + request.serviceMillis() > request.deadlineMillis()) {
            return giveUp(request, RefusalReason.DEADLINE_UNREACHABLE);
        }
        if (!budget.tryRetry()) {
            return giveUp(request, RefusalReason.RETRY_BUDGET_SPENT);
        }
        return RetryDecision.retryAt(atMillis);
    }

    private long delayMillis(int attempts, RandomGenerator random) {
        int doublings = Math.min(MAX_DOUBLINGS, attempts - 1);
        long boundMillis = Math.min(maxDelayMillis, baseDelayMillis << doublings);
        return random.nextLong(boundMillis + 1);
    }

    private static RetryDecision giveUp(RetryRequest request, RefusalReason reason) {
        Verdict refusal = Verdict.notRun(reason, Duration.ofMillis(request.retryAfterMillis()));
        return RetryDecision.giveUp(
                request.history().uncertainty().map(Verdict::mayHaveRun).orElse(refusal));
    }
}
