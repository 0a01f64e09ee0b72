package org.trefoilpost.model.verdict;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * The final result of a request: it was answered, it did not run, or it may have run.
 *
 * <p>A request is only declared not run if none of its bytes can have reached a target that accepts work, or if the
 * target rejected it before starting it.
 */
public final class Verdict {
    private static final Verdict ANSWERED = new Verdict(VerdictKind.ANSWERED, null, null, null);

    private final VerdictKind kind;
    private final RefusalReason refusal;
    private final UncertaintyReason uncertainty;
    private final Duration retryAfter;

    private Verdict(VerdictKind kind, RefusalReason refusal, UncertaintyReason uncertainty, Duration retryAfter) {
        this.kind = kind;
        this.refusal = refusal;
        this.uncertainty = uncertainty;
        this.retryAfter = retryAfter;
    }

    /**
     * Returns the verdict of a request whose answer is complete.
     *
     * @return the verdict, not null
     */
    public static Verdict answered() {
        return ANSWERED;
    }

    /**
     * Obtains the verdict of a request that did not run.
     *
     * @param reason  the reason for the refusal, not null
     * @param retryAfter  the minimum delay before the caller retries, not null, not negative
     * @return the verdict, not null
     * @throws IllegalArgumentException if the delay is negative
     */
    public static Verdict notRun(RefusalReason reason, Duration retryAfter) {
        Objects.requireNonNull(reason, "reason");
        Objects.requireNonNull(retryAfter, "retryAfter");
        if (retryAfter.isNegative()) {
            throw new IllegalArgumentException("retryAfter must not be negative: " + retryAfter);
        }
        return new Verdict(VerdictKind.NOT_RUN, reason, null, retryAfter);
    }

    /**
     * Obtains the verdict of a request that may have run.
     *
     * @param reason  the reason for the uncertainty, not null
     * @return the verdict, not null
     */
    public static Verdict mayHaveRun(UncertaintyReason reason) {
        Objects.requireNonNull(reason, "reason");
        return new Verdict(VerdictKind.MAY_HAVE_RUN, null, reason, null);
    }

    /**
     * Returns whether the request ran.
     *
     * @return the kind, not null
     */
    public VerdictKind kind() {
        return kind;
    }

    /**
     * Returns the reason for the refusal.
     *
     * @return the reason, not null, empty unless the request did not run
     */
    public Optional<RefusalReason> refusal() {
        return Optional.ofNullable(refusal);
    }

    /**
     * Returns the reason for the uncertainty.
     *
     * @return the reason, not null, empty unless the request may have run
     */
    public Optional<UncertaintyReason> uncertainty() {
        return Optional.ofNullable(uncertainty);
    }

    /**
     * Returns the minimum delay before the caller retries.
     *
     * @return the delay, not null, empty unless the request did not run
     */
    public Optional<Duration> retryAfter() {
        return Optional.ofNullable(retryAfter);
    }

    /**
     * Returns the stable code of the reason.
     *
     * @return the code, not null, {@code none} if the request was answered
     */
    public String reasonCode() {
        if (refusal != null) {
            return refusal.code();
        }
        return uncertainty != null ? uncertainty.code() : "none";
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof Verdict other
                && other.kind == kind
                && other.refusal == refusal
                && other.uncertainty == uncertainty
                && Objects.equals(other.retryAfter, retryAfter);
    }

    @Override
    public int hashCode() {
        return Objects.hash(kind, refusal, uncertainty, retryAfter);
    }

    /**
     * Returns the codes of the kind and of the reason.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return kind.code() + "(" + reasonCode() + ")";
    }
}
