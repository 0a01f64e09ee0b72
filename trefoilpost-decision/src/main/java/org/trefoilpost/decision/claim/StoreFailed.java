package org.trefoilpost.decision.claim;

/**
 * Reports that a store call failed or that its reply was lost. A write or delete may still take effect at any later
 * time.
 */
public final class StoreFailed implements StoreReply {
    private final long callId;

    private StoreFailed(long callId) {
        this.callId = callId;
    }

    /**
     * Obtains an instance.
     *
     * @param callId  the id of the store call
     * @return the instance, not null
     */
    public static StoreFailed of(long callId) {
        return new StoreFailed(callId);
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
        return "StoreFailed(" + callId + ")";
    }
}
