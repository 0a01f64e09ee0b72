package org.trefoilpost.decision.claim;

import java.util.Objects;

/**
 * Writes a key of the store by compare-and-swap: only if the key has the expected revision.
 */
public final class WriteKey implements StoreCall {
    private final long callId;
    private final String storeKey;
    private final long expectedRevision;
    private final byte[] value;

    private WriteKey(long callId, String storeKey, long expectedRevision, byte[] value) {
        this.callId = callId;
        this.storeKey = Objects.requireNonNull(storeKey, "storeKey");
        this.expectedRevision = expectedRevision;
        this.value = Objects.requireNonNull(value, "value");
    }

    /**
     * Obtains an instance.
     *
     * @param callId  the id of the store call
     * @param storeKey  the key in the store, not null
     * @param expectedRevision  the revision that the key must have, 0 if it must not exist
     * @param value  the value to write, not null
     * @return the instance, not null
     */
    public static WriteKey of(long callId, String storeKey, long expectedRevision, byte[] value) {
        return new WriteKey(callId, storeKey, expectedRevision, value);
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
     * Returns the value to write.
     *
     * @return the value to write, not null
     */
    public byte[] value() {
        return value;
    }

    /**
     * Returns the name of this type with its values.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "WriteKey(" + callId + ", " + storeKey + ", " + expectedRevision + ", " + value.length + ")";
    }
}
