package org.trefoilpost.decision.claim;

/**
 * Reports that the store rejected a write or a delete because the key has another revision than expected.
 */
public final class StoreConflicted implements StoreReply {
    private final long callId;
    private final long presentRevision;

    private StoreConflicted(long callId, long presentRevision) {
        this.callId = callId;
        this.presentRevision = presentRevision;
    }

    /**
     * Obtains an instance.
     *
     * @param callId  the id of the store call
     * @param presentRevision  the present revision of the key, 0 if it does not exist
     * @return the instance, not null
     */
    public static StoreConflicted of(long callId, long presentRevision) {
        return new StoreConflicted(callId, presentRevision);
    }

    @Override
    public long callId() {
        return callId;
    }

    /**
     * Returns the present revision of the key.
     *
     * @return the present revision of the key, 0 if it does not exist
     */
    public long presentRevision() {
        return presentRevision;
    }

    /**
     * Returns the name of this type with its values.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "StoreConflicted(" + callId + ", " + presentRevision + ")";
    }
}
