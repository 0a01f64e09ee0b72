package org.trefoilpost.entry.peer;

import java.util.Objects;

/**
 * Tells of an uncordon, and asks whether the peer gives the worker work again.
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
     * Obtains a message.
     *
     * @param callId  the number of the call
     * @param cordon  the uncordon, not null
     * @param stoppedIncarnation  the incarnation that was stopped, 0 if none was
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
     * Returns the incarnation that was stopped, 0 if none was.
     *
     * @return the incarnation that was stopped
     */
    public long stoppedIncarnation() {
        return stoppedIncarnation;
    }

    /**
     * Returns the kind of the message with its values.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "UncordonCall(" + callId + ", " + cordon + ", " + stoppedIncarnation + ")";
    }
}
