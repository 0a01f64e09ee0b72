package org.trefoilpost.decision.membership;

/**
 * Every entry sends its heartbeats to its next neighbours in a ring, which watch it and tell the others.
 */
public final class RingTopology implements HeartbeatTopology {
    private final int neighbours;

    private RingTopology(int neighbours) {
        this.neighbours = neighbours;
    }

    /**
     * Obtains a surveillance by neighbours.
     *
     * @param neighbours  the neighbours that watch each entry, more than 0
     * @return the surveillance, not null
     */
    public static RingTopology of(int neighbours) {
        return new RingTopology(neighbours);
    }

    @Override
    public boolean sendsTo(int own, int peer, int size) {
        return Math.floorMod(peer - own, size) <= neighbours;
    }

    @Override
    public boolean monitors(int own, int peer, int size) {
        return sendsTo(peer, own, size);
    }

    @Override
    public boolean disseminatesSuspicions() {
        return true;
    }
}
