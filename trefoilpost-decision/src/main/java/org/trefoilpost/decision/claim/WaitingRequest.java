package org.trefoilpost.decision.claim;

/**
 * A request that waits for the claim or the outcome of its key.
 */
final class WaitingRequest {
    private final String requestId;
    private final long deadlineMillis;
    private final Claim claim;
    private boolean done;

    WaitingRequest(String requestId, long deadlineMillis, Claim claim) {
        this.requestId = requestId;
        this.deadlineMillis = deadlineMillis;
        this.claim = claim;
    }

    String requestId() {
        return requestId;
    }

    long deadlineMillis() {
        return deadlineMillis;
    }

    Claim claim() {
        return claim;
    }

    boolean isDone() {
        return done;
    }

    void markDone() {
        done = true;
    }
}
