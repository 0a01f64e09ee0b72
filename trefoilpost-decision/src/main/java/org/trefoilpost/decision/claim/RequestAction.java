package org.trefoilpost.decision.claim;

/**
 * What becomes of a request.
 */
public sealed interface RequestAction extends ClaimAction permits Dispatch, Join, Replay, Conclude {
    /**
     * Returns the id of the request.
     *
     * @return the id of the request, not null
     */
    String requestId();
}
