package org.trefoilpost.decision.routing;

import java.util.random.RandomGenerator;

/**
 * Selects the less loaded of two random candidates (power of two choices).
 */
public final class TwoChoicesPolicy implements SelectionPolicy {
    @Override
    public int select(CandidateView candidates, RouteRequest request, RandomGenerator random) {
        int first = RandomScan.pick(candidates, request, random);
        if (first == NONE || candidates.size() == 1) {
            return first;
        }
        int second = RandomScan.pick(candidates, request, random);
        return candidates.estimatedInFlight(second) < candidates.estimatedInFlight(first) ? second : first;
    }
}
