package org.trefoilpost.decision.routing;

import java.util.Arrays;
import org.trefoilpost.model.worker.Worker;

/**
 * An array-backed set of candidates with constant-time insertion, removal and access by index.
 */
final class CandidateGroup implements CandidateView {
    /** The group of the candidates of one data centre. */
    static final int DATA_CENTRE = 0;
    /** The group of all candidates of the pool. */
    static final int POOL = 1;

    private static final int INITIAL_LENGTH = 16;

    private final int kind;
    private Candidate[] candidates = new Candidate[INITIAL_LENGTH];
    /** The estimated attempts in flight by index; an array keeps comparisons in large pools cache-friendly. */
    private double[] occupancies = new double[INITIAL_LENGTH];

    private int size;

    CandidateGroup(int kind) {
        this.kind = kind;
    }

    void add(Candidate candidate) {
        if (candidate.position(kind) != Candidate.ABSENT) {
            return;
        }
        if (size == candidates.length) {
            candidates = Arrays.copyOf(candidates, size * 2);
            occupancies = Arrays.copyOf(occupancies, size * 2);
        }
        candidates[size] = candidate;
        candidate.position(kind, size);
        size++;
    }

    void remove(Candidate candidate) {
        int position = candidate.position(kind);
        if (position == Candidate.ABSENT) {
            return;
        }
        size--;
        Candidate last = candidates[size];
        candidates[position] = last;
        occupancies[position] = occupancies[size];
        last.position(kind, position);
        candidates[size] = null;
        candidate.position(kind, Candidate.ABSENT);
    }

    /** Updates the estimated attempts in flight of a candidate of this group. */
    void update(Candidate candidate) {
        occupancies[candidate.position(kind)] = candidate.meanInFlight();
    }

    Candidate candidate(int index) {
        return candidates[index];
    }

    @Override
    public int size() {
        return size;
    }

    @Override
    public Worker worker(int index) {
        return candidates[index].worker();
    }

    @Override
    public int ownInFlight(int index) {
        return candidates[index].ownInFlight();
    }

    @Override
    public double estimatedInFlight(int index) {
        return occupancies[index];
    }
}
