package org.trefoilpost.decision.routing;

import org.trefoilpost.model.worker.Worker;

/**
 * A view that counts how often a candidate is looked at.
 */
final class CountingView implements CandidateView {
    private final CandidateView view;
    private final int[] inspections;

    CountingView(CandidateView view, int[] looks) {
        this.view = view;
        this.inspections = looks;
    }

    @Override
    public int size() {
        return view.size();
    }

    @Override
    public Worker worker(int index) {
        inspections[0]++;
        return view.worker(index);
    }

    @Override
    public int ownInFlight(int index) {
        return view.ownInFlight(index);
    }

    @Override
    public double estimatedInFlight(int index) {
        inspections[0]++;
        return view.estimatedInFlight(index);
    }
}
