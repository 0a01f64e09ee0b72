package org.trefoilpost.decision.routing;

import java.util.random.RandomGenerator;

/**
 * Selects the candidate with the fewest attempts of this entry, looking at each of them.
 */
public final class LeastOwnInFlightPolicy implements SelectionPolicy {
    @Override
    public int select(CandidateView candidates, RouteRequest request, RandomGenerator random) {
        int size = candidates.size();
        int best = NONE;
        int start = size == 0 ? 0 : random.nextInt(size);
        for (int look = 0; look < size; look++) {
            int index = (start + look) % size;
            boolean better = best == NONE || candidates.ownInFlight(index) < candidates.ownInFlight(best);
            if (better && request.allows(candidates.worker(index))) {
                best = index;
            }
        }
        return best;
    }

    @Override
    public int freeSlots(int slots, int ownInFlight, int peerInFlight) {
        return slots - ownInFlight;
    }
}
