package org.trefoilpost.entry.peer;

/**
 * Tells whether an entry gives an uncordoned worker work again.
 */
public final class UncordonAnswer implements PeerReply {
    private final long callId;
    private final boolean isInService;

    private UncordonAnswer(long callId, boolean inService) {
        this.callId = callId;
        this.isInService = inService;
    }

    /**
     * Obtains a message.
     *
     * @param callId  the number of the call
     * @param inService  true if the entry gives the worker work again
     * @return the message, not null
     */
    public static UncordonAnswer of(long callId, boolean inService) {
        return new UncordonAnswer(callId, inService);
    }

    @Override
    public long callId() {
        return callId;
    }

    /**
     * Returns whether the entry gives the worker work again.
     *
     * @return true if it does
     */
    public boolean isInService() {
        return isInService;
    }

    /**
     * Returns the kind of the message with its values.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "UncordonAnswer(" + callId + ", " + isInService + ")";
    }
}
