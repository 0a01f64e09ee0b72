package org.trefoilpost.decision.routing;

/**
 * The ejection of a worker, ordered by the time of its next probe.
 */
final class Ejection implements Comparable<Ejection> {
    private final Candidate candidate;
    private final long probeAtMillis;
    private boolean probing;

    Ejection(Candidate candidate, long probeAtMillis) {
        this.candidate = candidate;
        this.probeAtMillis = probeAtMillis;
    }

    Candidate candidate() {
        return candidate;
    }

    long probeAtMillis() {
        return probeAtMillis;
    }

    boolean probing() {
        return probing;
    }

    void startProbe() {
        probing = true;
    }

    @Override
    public int compareTo(Ejection other) {
        return Long.compare(probeAtMillis, other.probeAtMillis);
    }
}
