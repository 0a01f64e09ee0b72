package org.trefoilpost.decision.claim;

/**
 * Reports the outcome of a {@link StoreCall}.
 */
public sealed interface StoreReply extends ClaimEvent
        permits KeyRead, KeyWritten, KeyDeleted, StoreConflicted, StoreFailed {
    /**
     * Returns the id of the store call.
     *
     * @return the id of the store call
     */
    long callId();
}
