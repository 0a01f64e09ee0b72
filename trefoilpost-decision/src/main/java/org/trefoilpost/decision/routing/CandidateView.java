package org.trefoilpost.decision.routing;

import org.trefoilpost.model.worker.Worker;

/**
 * An indexed view of the candidates that a policy selects from, each with a free slot by the policy's own count.
 */
public interface CandidateView {
    /**
     * Returns the number of candidates.
     *
     * @return the number, 0 if no worker has a free slot
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
     * Returns the estimated attempts of all entries that are in flight at a candidate.
     *
     * @param index  the candidate's index, from 0 to below the size
     * @return the attempts, not negative, fractional because peers' counts are averaged
     */
    double estimatedInFlight(int index);
}
