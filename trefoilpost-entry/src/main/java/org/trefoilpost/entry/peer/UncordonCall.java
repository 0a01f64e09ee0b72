package org.trefoilpost.entry.peer;

import java.util.Objects;

/**
 * Announces an uncordon, and asks whether the peer places work on the worker again.
 */
public final class UncordonCall implements PeerCall {
    private final long callId;
    private final CordonChange cordon;
    private final long stoppedIncarnation;

    private UncordonCall(long callId, CordonChange cordon, long stoppedIncarnation) {
        this.callId = callId;
        this.cordon = cordon;
        this.stoppedIncarnation = stoppedIncarnation;
    }

    /**
     * Creates the message.
     *
     * @param callId  the identifier of the call, unique among the calls on a connection
     * @param cordon  the uncordon, not null
     * @param stoppedIncarnation  the incarnation of the worker that the step stopped, 0 if none
     * @return the message, not null
     */
    public static UncordonCall of(long callId, CordonChange cordon, long stoppedIncarnation) {
        return new UncordonCall(callId, Objects.requireNonNull(cordon, "cordon"), stoppedIncarnation);
    }

    @Override
    public long callId() {
        return callId;
    }

    /**
     * Returns the uncordon.
     *
     * @return the uncordon, not null
     */
    public CordonChange cordon() {
        return cordon;
    }

    /**
     * Returns the incarnation of the worker that the step stopped.
     *
     * @return the incarnation, 0 if none was stopped
     */
    public long stoppedIncarnation() {
        return stoppedIncarnation;
    }

    /**
     * Returns the type of the message and its short values, for logs and tests.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "UncordonCall(" + callId + ", " + cordon + ", " + stoppedIncarnation + ")";
    }
}
