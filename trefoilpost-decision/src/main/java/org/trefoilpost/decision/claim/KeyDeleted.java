package org.trefoilpost.decision.claim;

/**
 * Reports that the store applied a delete, or that the key did not exist.
 */
public final class KeyDeleted implements StoreReply {
    private final long callId;

    private KeyDeleted(long callId) {
        this.callId = callId;
    }

    /**
     * Obtains an instance.
     *
     * @param callId  the id of the store call
     * @return the instance, not null
     */
    public static KeyDeleted of(long callId) {
        return new KeyDeleted(callId);
    }

    @Override
    public long callId() {
        return callId;
    }

    /**
     * Returns the name of this type with its values.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "KeyDeleted(" + callId + ")";
    }
}
