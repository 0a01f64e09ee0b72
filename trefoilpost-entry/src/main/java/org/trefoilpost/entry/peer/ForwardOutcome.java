package org.trefoilpost.entry.peer;

import org.trefoilpost.entry.request.RequestOutcome;

/**
 * Returns the outcome of a forwarded request.
 */
public final class ForwardOutcome implements PeerReply {
    private final long callId;
    private final RequestOutcome outcome;

    private ForwardOutcome(long callId, RequestOutcome outcome) {
        this.callId = callId;
        this.outcome = outcome;
    }

    /**
     * Obtains a message.
     *
     * @param callId  the number of the call
     * @param outcome  the outcome, whose answer is held in whole, not null
     * @return the message, not null
     */
    public static ForwardOutcome of(long callId, RequestOutcome outcome) {
        return new ForwardOutcome(callId, outcome);
    }

    @Override
    public long callId() {
        return callId;
    }

    /**
     * Returns the outcome, whose answer is held in whole.
     *
     * @return the outcome, not null
     */
    public RequestOutcome outcome() {
        return outcome;
    }

    /**
     * Returns the kind of the message with its values.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "ForwardOutcome(" + callId + ")";
    }
}
