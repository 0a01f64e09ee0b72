package org.trefoilpost.decision.membership;

/**
 * Sends heartbeats from every entry to its successors in a ring, which monitor it and disseminate their suspicions.
 *
 * <p>The ring is the order of the entries' names.
 */
public final class RingTopology implements HeartbeatTopology {
    private final int successors;

    private RingTopology(int successors) {
        this.successors = successors;
    }

    /**
     * Obtains a ring topology.
     *
     * @param successors  the number of successors that monitor each entry, more than 0
     * @return the topology, not null
     */
    public static RingTopology of(int successors) {
        return new RingTopology(successors);
    }

    @Override
    public boolean sendsTo(int own, int peer, int size) {
        return Math.floorMod(peer - own, size) <= successors;
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
