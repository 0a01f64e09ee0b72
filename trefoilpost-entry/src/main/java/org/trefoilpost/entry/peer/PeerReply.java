package org.trefoilpost.entry.peer;

/**
 * The reply to a {@link PeerCall}.
 */
public sealed interface PeerReply extends PeerMessage permits DrainAnswer, ForwardOutcome, PoolAnswer, UncordonAnswer {
    /**
     * Returns the identifier of the call that this message replies to.
     *
     * @return the identifier of the call
     */
    long callId();
}
