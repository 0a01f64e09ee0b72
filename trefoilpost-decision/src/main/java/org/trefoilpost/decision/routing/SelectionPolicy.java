package org.trefoilpost.decision.routing;

import java.util.random.RandomGenerator;

/**
 * Selects one of the workers that have a free slot.
 */
public interface SelectionPolicy {
    /** The index that stands for no candidate. */
    int NONE = -1;

    /**
     * Selects a candidate that the request allows.
     *
     * @param candidates  the candidates, not null
     * @param request  the request, not null
     * @param random  the source of random numbers, not null
     * @return the candidate's index, or {@link #NONE} if the request allows none that was looked at
     */
    int select(CandidateView candidates, RouteRequest request, RandomGenerator random);

    /**
     * Returns the slots of a worker that this policy takes to be free.
     *
     * @param slots  the worker's slots, not negative
     * @param ownInFlight  the attempts of this entry in flight at the worker, not negative
     * @param peerInFlight  the attempts of the peers in flight at the worker, as they reported, not negative
     * @return the free slots, zero or less if there are none
     */
    default int freeSlots(int slots, int ownInFlight, int peerInFlight) {
        return slots - ownInFlight - peerInFlight;
    }
}
