package org.trefoilpost.entry.peer;

/**
 * The reply to a call.
 */
public sealed interface PeerReply extends PeerMessage permits DrainAnswer, ForwardOutcome, PoolAnswer, UncordonAnswer {
    /**
     * Returns the number of the call.
     *
     * @return the number that the call had
     */
    long callId();
}
