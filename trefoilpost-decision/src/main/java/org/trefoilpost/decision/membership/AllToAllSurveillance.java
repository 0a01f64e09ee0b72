package org.trefoilpost.decision.membership;

/**
 * Every entry sends its heartbeats to every peer and judges each by its own ears.
 */
public final class AllToAllSurveillance implements Surveillance {
    @Override
    public boolean sends(int own, int peer, int size) {
        return true;
    }

    @Override
    public boolean watches(int own, int peer, int size) {
        return true;
    }

    @Override
    public boolean tellsSuspicions() {
        return false;
    }
}
