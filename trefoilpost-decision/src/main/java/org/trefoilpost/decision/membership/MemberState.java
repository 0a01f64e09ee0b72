package org.trefoilpost.decision.membership;

/**
 * What an entry takes a peer to be.
 */
public enum MemberState {
    /** The address is known, but the peer was never heard. */
    KNOWN,
    /** The peer was heard lately. */
    ALIVE,
    /** Heartbeats of the peer are missing. */
    SUSPECTED,
    /** Heartbeats of the peer are missing for so long that it counts as gone. */
    REMOVED
}
