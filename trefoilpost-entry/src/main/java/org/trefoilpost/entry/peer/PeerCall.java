package org.trefoilpost.entry.peer;

/**
 * A message that expects a {@link PeerReply}.
 */
public sealed interface PeerCall extends PeerMessage permits DrainQuery, ForwardRequest, PoolCall, UncordonCall {
    /**
     * Returns the identifier of the call.
     *
     * @return the identifier, unique among the calls on a connection
     */
    long callId();
}
