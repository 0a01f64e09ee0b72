package org.trefoilpost.decision.membership;

/**
 * The state of a peer in an entry's view.
 */
public enum MemberState {
    /** The peer's address is known, but no heartbeat of it was received yet. */
    KNOWN,
    /** Heartbeats of the peer arrive in time. */
    ALIVE,
    /** Heartbeats of the peer are missing; it still counts as live. */
    SUSPECTED,
    /** The peer counts as failed: its heartbeats were missing for too long, or another entry took over its address. */
    REMOVED
}
