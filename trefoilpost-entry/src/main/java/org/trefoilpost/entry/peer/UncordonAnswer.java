package org.trefoilpost.entry.peer;

/**
 * Answers an {@link UncordonCall}: whether the entry places work on the worker again.
 */
public final class UncordonAnswer implements PeerReply {
    private final long callId;
    private final boolean isInService;

    private UncordonAnswer(long callId, boolean inService) {
        this.callId = callId;
        this.isInService = inService;
    }

    /**
     * Creates the message.
     *
     * @param callId  the identifier of the call, unique among the calls on a connection
     * @param inService  true if the entry places work on the worker again
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
     * Returns whether the entry places work on the worker again.
     *
     * @return true if the worker is in service at the entry
     */
    public boolean isInService() {
        return isInService;
    }

    /**
     * Returns the type of the message and its short values, for logs and tests.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "UncordonAnswer(" + callId + ", " + isInService + ")";
    }
}
