package org.trefoilpost.decision.membership;

/**
 * Sends heartbeats from every entry to every peer.
 *
 * <p>Each entry suspects peers only by the heartbeats that it receives itself.
 */
public final class AllToAllTopology implements HeartbeatTopology {
    @Override
    public boolean sendsTo(int own, int peer, int size) {
        return true;
    }

    @Override
    public boolean monitors(int own, int peer, int size) {
        return true;
    }

    @Override
    public boolean disseminatesSuspicions() {
        return false;
    }
}
