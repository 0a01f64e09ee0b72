package org.trefoilpost.decision.claim;

import java.util.Objects;

/**
 * Reports that the caller of a request no longer waits. The request needs no verdict.
 */
public final class RequestCancelled implements ClaimEvent {
    private final String requestId;

    private RequestCancelled(String requestId) {
        this.requestId = Objects.requireNonNull(requestId, "requestId");
    }

    /**
     * Obtains an instance.
     *
     * @param requestId  the id of the request, not null
     * @return the instance, not null
     */
    public static RequestCancelled of(String requestId) {
        return new RequestCancelled(requestId);
    }

    /**
     * Returns the id of the request.
     *
     * @return the id of the request, not null
     */
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
        return "RequestCancelled(" + requestId + ")";
    }
}
