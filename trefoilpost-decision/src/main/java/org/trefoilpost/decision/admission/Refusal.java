package org.trefoilpost.decision.admission;

import java.time.Duration;
import java.util.Objects;
import org.trefoilpost.model.verdict.RefusalReason;
import org.trefoilpost.model.verdict.Verdict;

/**
 * The refusal of a request, which will not run, with the reason and the time after which its caller may retry.
 */
public final class Refusal {
    private final AdmissionRequest request;
    private final RefusalReason reason;
    private final long retryAfterMillis;

    private Refusal(AdmissionRequest request, RefusalReason reason, long retryAfterMillis) {
        this.request = request;
        this.reason = reason;
        this.retryAfterMillis = retryAfterMillis;
    }

    /**
     * Obtains a refusal.
     *
     * @param request  the request, not null
     * @param reason  the reason, not null
     * @param retryAfterMillis  the time after which the caller may retry in milliseconds, not negative
     * @return the refusal, not null
     */
    public static Refusal of(AdmissionRequest request, RefusalReason reason, long retryAfterMillis) {
        return new Refusal(
                Objects.requireNonNull(request, "request"), Objects.requireNonNull(reason, "reason"), retryAfterMillis);
    }

    /**
     * Returns the request.
     *
     * @return the request, not null
     */
    public AdmissionRequest request() {
        return request;
    }

    /**
     * Returns the reason.
     *
     * @return the reason, not null
     */
    public RefusalReason reason() {
        return reason;
    }

    /**
     * Returns the time after which the caller may retry.
     *
     * @return the time in milliseconds, not negative
     */
    public long retryAfterMillis() {
        return retryAfterMillis;
    }

    /**
     * Returns the verdict for the caller.
     *
     * @return the verdict that the request did not run, not null
     */
    public Verdict verdict() {
        return Verdict.notRun(reason, Duration.ofMillis(retryAfterMillis));
    }

    /**
     * Returns the request and the reason.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return request + " refused: " + reason.code();
    }
}
