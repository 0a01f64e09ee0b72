package org.trefoilpost.decision.claim;

import java.util.Objects;

/**
 * Deletes a key of the store by compare-and-swap: only if the key has the expected revision.
 */
public final class DeleteKey implements StoreCall {
    private final long callId;
    private final String storeKey;
    private final long expectedRevision;

    private DeleteKey(long callId, String storeKey, long expectedRevision) {
        this.callId = callId;
        this.storeKey = Objects.requireNonNull(storeKey, "storeKey");
        this.expectedRevision = expectedRevision;
    }

    /**
     * Obtains an instance.
     *
     * @param callId  the id of the store call
     * @param storeKey  the key in the store, not null
     * @param expectedRevision  the revision that the key must have, 0 if it must not exist
     * @return the instance, not null
     */
    public static DeleteKey of(long callId, String storeKey, long expectedRevision) {
        return new DeleteKey(callId, storeKey, expectedRevision);
    }

    @Override
    public long callId() {
        return callId;
    }

    /**
     * Returns the key in the store.
     *
     * @return the key in the store, not null
     */
    public String storeKey() {
        return storeKey;
    }

    /**
     * Returns the revision that the key must have, 0 if it must not exist.
     *
     * @return the revision that the key must have
     */
    public long expectedRevision() {
        return expectedRevision;
    }

    /**
     * Returns the name of this type with its values.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "DeleteKey(" + callId + ", " + storeKey + ", " + expectedRevision + ")";
    }
}
