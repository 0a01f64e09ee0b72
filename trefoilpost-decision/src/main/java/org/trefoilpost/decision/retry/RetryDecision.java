package org.trefoilpost.decision.retry;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.trefoilpost.model.verdict.Verdict;

/**
 * Whether a failed request is tried again, and if not, its final verdict.
 */
public final class RetryDecision {
    private final long atMillis;
    private final Verdict verdict;

    private RetryDecision(long atMillis, Verdict verdict) {
        this.atMillis = atMillis;
        this.verdict = verdict;
    }

    /**
     * Obtains the decision to try again.
     *
     * @param atMillis  the time of the next attempt in milliseconds
     * @return the decision, not null
     */
    public static RetryDecision retryAt(long atMillis) {
        return new RetryDecision(atMillis, null);
    }

    /**
     * Obtains the decision to give up and answer at once.
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
     * @return the verdict, not null, empty if the request is tried again
     */
    public Optional<Verdict> verdict() {
        return Optional.ofNullable(verdict);
    }

    /**
     * Returns the time or the verdict.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return verdict == null ? "retry at " + atMillis : "give up: " + verdict;
    }
}
