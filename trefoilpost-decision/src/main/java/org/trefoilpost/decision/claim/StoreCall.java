package org.trefoilpost.decision.claim;

/**
 * Asks the entry to make a call to the store and to answer it with one {@link StoreReply} with the same id.
 */
public sealed interface StoreCall extends ClaimAction permits ReadKey, WriteKey, DeleteKey {
    /**
     * Returns the id of the store call.
     *
     * @return the id of the store call
     */
    long callId();
}
