package org.trefoilpost.decision.claim;

import java.util.Objects;

/**
 * Reads a key of the store.
 */
public final class ReadKey implements StoreCall {
    private final long callId;
    private final String storeKey;

    private ReadKey(long callId, String storeKey) {
        this.callId = callId;
        this.storeKey = Objects.requireNonNull(storeKey, "storeKey");
    }

    /**
     * Obtains an instance.
     *
     * @param callId  the id of the store call
     * @param storeKey  the key in the store, not null
     * @return the instance, not null
     */
    public static ReadKey of(long callId, String storeKey) {
        return new ReadKey(callId, storeKey);
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
     * Returns the name of this type with its values.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "ReadKey(" + callId + ", " + storeKey + ")";
    }
}
