package org.trefoilpost.decision.routing;

import org.trefoilpost.model.worker.Worker;

/**
 * The candidates among which a policy selects, each with a slot that the policy takes to be free.
 */
public interface CandidateView {
    /**
     * Returns the number of candidates.
     *
     * @return the number, not negative
     */
    int size();

    /**
     * Returns a candidate's worker.
     *
     * @param index  the candidate's index, from 0 to below the size
     * @return the worker, not null
     */
    Worker worker(int index);

    /**
     * Returns the attempts of this entry that are in flight at a candidate.
     *
     * @param index  the candidate's index, from 0 to below the size
     * @return the attempts, not negative
     */
    int ownInFlight(int index);

    /**
     * Returns the attempts of all entries that are in flight at a candidate, as estimated.
     *
     * @param index  the candidate's index, from 0 to below the size
     * @return the attempts, not negative
     */
    double estimatedInFlight(int index);
}
