package org.trefoilpost.decision.routing;

import java.util.random.RandomGenerator;

/**
 * Strategy that counts the free slots of each worker and selects one of the workers that have any.
 */
public interface SelectionPolicy {
    /** The index returned if no candidate is selected. */
    int NONE = -1;

    /**
     * Selects a candidate that the request allows.
     *
     * @param candidates  the candidates, not null
     * @param request  the request, not null
     * @param random  the source of random numbers, not null
     * @return the candidate's index, or {@link #NONE} if the request allows none of the inspected candidates
     */
    int select(CandidateView candidates, RouteRequest request, RandomGenerator random);

    /**
     * Returns the slots of a worker that are free by the count of this policy.
     *
     * @param slots  the worker's estimated slots, not negative
     * @param ownInFlight  the attempts of this entry in flight at the worker, not negative
     * @param peerInFlight  the slots assumed to be used by peers, their reports plus a safety margin, not negative
     * @return the free slots, zero or less if there are none
     */
    default int freeSlots(int slots, int ownInFlight, int peerInFlight) {
        return slots - ownInFlight - peerInFlight;
    }
}
