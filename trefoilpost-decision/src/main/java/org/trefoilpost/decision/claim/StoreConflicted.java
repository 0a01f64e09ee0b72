package org.trefoilpost.decision.claim;

/**
 * The store rejected a write or a delete because the key has another revision.
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
     * @param presentRevision  the present revision of the key
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
     * @return the present revision of the key
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
