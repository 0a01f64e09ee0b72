package org.trefoilpost.decision.membership;

/**
 * Every entry sends its heartbeats to its next neighbours in a ring, which watch it and tell the others.
 */
public final class RingSurveillance implements Surveillance {
    private final int neighbours;

    private RingSurveillance(int neighbours) {
        this.neighbours = neighbours;
    }

    /**
     * Obtains a surveillance by neighbours.
     *
     * @param neighbours  the neighbours that watch each entry, more than 0
     * @return the surveillance, not null
     */
    public static RingSurveillance of(int neighbours) {
        return new RingSurveillance(neighbours);
    }

    @Override
    public boolean sends(int own, int peer, int size) {
        return Math.floorMod(peer - own, size) <= neighbours;
    }

    @Override
    public boolean watches(int own, int peer, int size) {
        return sends(peer, own, size);
    }

    @Override
    public boolean tellsSuspicions() {
        return true;
    }
}
