package org.trefoilpost.decision.claim;

/**
 * Reports that the store applied a write.
 */
public final class KeyWritten implements StoreReply {
    private final long callId;
    private final long revision;

    private KeyWritten(long callId, long revision) {
        this.callId = callId;
        this.revision = revision;
    }

    /**
     * Obtains an instance.
     *
     * @param callId  the id of the store call
     * @param revision  the new revision of the key
     * @return the instance, not null
     */
    public static KeyWritten of(long callId, long revision) {
        return new KeyWritten(callId, revision);
    }

    @Override
    public long callId() {
        return callId;
    }

    /**
     * Returns the new revision of the key.
     *
     * @return the new revision of the key
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns the name of this type with its values.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "KeyWritten(" + callId + ", " + revision + ")";
    }
}
