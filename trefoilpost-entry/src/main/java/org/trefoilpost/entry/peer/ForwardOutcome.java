package org.trefoilpost.entry.peer;

import org.trefoilpost.entry.request.RequestOutcome;

/**
 * Answers a {@link ForwardRequest} with the outcome of the request.
 */
public final class ForwardOutcome implements PeerReply {
    private final long callId;
    private final RequestOutcome outcome;

    private ForwardOutcome(long callId, RequestOutcome outcome) {
        this.callId = callId;
        this.outcome = outcome;
    }

    /**
     * Creates the message.
     *
     * @param callId  the identifier of the call, unique among the calls on a connection
     * @param outcome  the outcome, whose answer has its whole body in memory, not null
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
     * Returns the outcome, whose answer has its whole body in memory.
     *
     * @return the outcome, not null
     */
    public RequestOutcome outcome() {
        return outcome;
    }

    /**
     * Returns the type of the message and its short values, for logs and tests.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "ForwardOutcome(" + callId + ")";
    }
}
