package org.trefoilpost.decision.routing;

import java.util.random.RandomGenerator;

/**
 * Selects the candidates in turn; only this entry's own attempts count as using slots.
 */
public final class RoundRobinPolicy implements SelectionPolicy {
    private int next;

    @Override
    public int select(CandidateView candidates, RouteRequest request, RandomGenerator random) {
        int size = candidates.size();
        for (int inspected = 0; inspected < size; inspected++) {
            next = (next + 1) % size;
            if (request.allows(candidates.worker(next))) {
                return next;
            }
        }
        return NONE;
    }

    @Override
    public int freeSlots(int slots, int ownInFlight, int peerInFlight) {
        return slots - ownInFlight;
    }
}
