package org.trefoilpost.decision.claim;

/**
 * An action that decides how a request proceeds.
 */
public sealed interface RequestAction extends ClaimAction permits Dispatch, Join, Replay, Conclude {
    /**
     * Returns the id of the request.
     *
     * @return the id of the request, not null
     */
    String requestId();
}
