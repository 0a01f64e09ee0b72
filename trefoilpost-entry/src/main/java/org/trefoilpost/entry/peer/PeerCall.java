package org.trefoilpost.entry.peer;

/**
 * A message that wants a reply.
 */
public sealed interface PeerCall extends PeerMessage permits DrainQuery, ForwardRequest, PoolCall, UncordonCall {
    /**
     * Returns the number of the call.
     *
     * @return the number, unique among the calls on a connection
     */
    long callId();
}
