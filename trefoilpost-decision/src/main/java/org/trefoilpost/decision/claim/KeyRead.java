package org.trefoilpost.decision.claim;

import java.util.Objects;

/**
 * Reports the result of a read.
 */
public final class KeyRead implements StoreReply {
    private final long callId;
    private final long revision;
    private final byte[] value;

    private KeyRead(long callId, long revision, byte[] value) {
        this.callId = callId;
        this.revision = revision;
        this.value = Objects.requireNonNull(value, "value");
    }

    /**
     * Obtains an instance.
     *
     * @param callId  the id of the store call
     * @param revision  the revision of the key, 0 if it does not exist
     * @param value  the value, empty if the key does not exist, not null
     * @return the instance, not null
     */
    public static KeyRead of(long callId, long revision, byte[] value) {
        return new KeyRead(callId, revision, value);
    }

    @Override
    public long callId() {
        return callId;
    }

    /**
     * Returns the revision of the key, 0 if it does not exist.
     *
     * @return the revision of the key
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns the value, empty if the key does not exist.
     *
     * @return the value, not null
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
        return "KeyRead(" + callId + ", " + revision + ", " + value.length + ")";
    }
}
