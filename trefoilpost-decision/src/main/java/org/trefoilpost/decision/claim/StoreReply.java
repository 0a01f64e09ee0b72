package org.trefoilpost.decision.claim;

/**
 * The outcome of a store call.
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
