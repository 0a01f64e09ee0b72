package org.trefoilpost.decision.claim;

import java.util.Objects;

/**
 * Reports that a request waits for the outcome of an earlier request with the same key.
 */
public final class Join implements RequestAction {
    private final String requestId;

    private Join(String requestId) {
        this.requestId = Objects.requireNonNull(requestId, "requestId");
    }

    /**
     * Obtains an instance.
     *
     * @param requestId  the id of the request, not null
     * @return the instance, not null
     */
    public static Join of(String requestId) {
        return new Join(requestId);
    }

    @Override
    public String requestId() {
        return requestId;
    }

    /**
     * Returns the name of this type with its values.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "Join(" + requestId + ")";
    }
}
