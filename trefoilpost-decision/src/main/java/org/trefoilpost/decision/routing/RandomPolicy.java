package org.trefoilpost.decision.routing;

import java.util.random.RandomGenerator;

/**
 * Selects a random candidate; only this entry's own attempts count as using slots.
 */
public final class RandomPolicy implements SelectionPolicy {
    @Override
    public int select(CandidateView candidates, RouteRequest request, RandomGenerator random) {
        return RandomScan.pick(candidates, request, random);
    }

    @Override
    public int freeSlots(int slots, int ownInFlight, int peerInFlight) {
        return slots - ownInFlight;
    }
}
