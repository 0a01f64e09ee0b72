package org.trefoilpost.entry.peer;

import java.util.Objects;

/**
 * Announces a cordon, and asks how many requests the peer has in flight on the cordoned worker.
 */
public final class DrainQuery implements PeerCall {
    private final long callId;
    private final CordonChange cordon;

    private DrainQuery(long callId, CordonChange cordon) {
        this.callId = callId;
        this.cordon = cordon;
    }

    /**
     * Creates the message.
     *
     * @param callId  the identifier of the call, unique among the calls on a connection
     * @param cordon  the cordon, not null
     * @return the message, not null
     */
    public static DrainQuery of(long callId, CordonChange cordon) {
        return new DrainQuery(callId, Objects.requireNonNull(cordon, "cordon"));
    }

    @Override
    public long callId() {
        return callId;
    }

    /**
     * Returns the cordon.
     *
     * @return the cordon, not null
     */
    public CordonChange cordon() {
        return cordon;
    }

    /**
     * Returns the type of the message and its short values, for logs and tests.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "DrainQuery(" + callId + ", " + cordon + ")";
    }
}
