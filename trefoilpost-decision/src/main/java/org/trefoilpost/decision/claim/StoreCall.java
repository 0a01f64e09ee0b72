package org.trefoilpost.decision.claim;

/**
 * A call to the store, answered by one {@link StoreReply} with the same id.
 */
public sealed interface StoreCall extends ClaimAction permits ReadKey, WriteKey, DeleteKey {
    /**
     * Returns the id of the store call.
     *
     * @return the id of the store call
     */
    long callId();
}
