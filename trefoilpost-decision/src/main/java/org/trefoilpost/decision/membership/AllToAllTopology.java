package org.trefoilpost.decision.membership;

/**
 * Every entry sends its heartbeats to every peer and judges each by its own ears.
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
