package org.trefoilpost.decision.claim;

import java.util.Objects;
import org.trefoilpost.model.verdict.Verdict;

/**
 * Ends a request with a final verdict and no answer. The request is never dispatched afterwards.
 */
public final class Conclude implements RequestAction {
    private final String requestId;
    private final Verdict verdict;

    private Conclude(String requestId, Verdict verdict) {
        this.requestId = Objects.requireNonNull(requestId, "requestId");
        this.verdict = Objects.requireNonNull(verdict, "verdict");
    }

    /**
     * Obtains an instance.
     *
     * @param requestId  the id of the request, not null
     * @param verdict  the verdict, not null
     * @return the instance, not null
     */
    public static Conclude of(String requestId, Verdict verdict) {
        return new Conclude(requestId, verdict);
    }

    @Override
    public String requestId() {
        return requestId;
    }

    /**
     * Returns the verdict.
     *
     * @return the verdict, not null
     */
    public Verdict verdict() {
        return verdict;
    }

    /**
     * Returns the name of this type with its values.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "Conclude(" + requestId + ", " + verdict + ")";
    }
}
