package org.trefoilpost.decision.retry;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.trefoilpost.model.verdict.Verdict;

/**
 * The decision after a failed attempt: a retry at a time, or the final verdict of the request.
 */
public final class RetryDecision {
    private final long atMillis;
    private final Verdict verdict;

    private RetryDecision(long atMillis, Verdict verdict) {
        this.atMillis = atMillis;
        this.verdict = verdict;
    }

    /**
     * Obtains the decision to retry.
     *
     * @param atMillis  the time of the next attempt in milliseconds
     * @return the decision, not null
     */
    public static RetryDecision retryAt(long atMillis) {
        return new RetryDecision(atMillis, null);
    }

    /**
     * Obtains the decision to give up and deliver a verdict.
     *
     * @param verdict  the verdict, not null
     * @return the decision, not null
     */
    public static RetryDecision giveUp(Verdict verdict) {
        return new RetryDecision(0, Objects.requireNonNull(verdict, "verdict"));
    }

    /**
     * Returns the time of the next attempt.
     *
     * @return the time in milliseconds, empty if the request is given up
     */
    public OptionalLong retryAtMillis() {
        return verdict == null ? OptionalLong.of(atMillis) : OptionalLong.empty();
    }

    /**
     * Returns the final verdict.
     *
     * @return the verdict, not null, empty if the request is retried
     */
    public Optional<Verdict> verdict() {
        return Optional.ofNullable(verdict);
    }

    /**
     * Returns the time of the retry or the verdict.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return verdict == null ? "retry at " + atMillis : "give up: " + verdict;
    }
}
