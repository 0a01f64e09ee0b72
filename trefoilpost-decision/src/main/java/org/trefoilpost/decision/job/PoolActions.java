package org.trefoilpost.decision.job;

/**
 * Carries out the decisions of a pool's scheduler. No method blocks; results are passed to the scheduler as events.
 */
public interface PoolActions {
    /**
     * Sends an order to a worker.
     *
     * @param order  the order, not null
     */
    void send(WorkerOrder order);

    /**
     * Requests placement advice.
     *
     * @param request  the request, not null
     */
    void requestAdvice(AdviceRequest request);

    /**
     * Stores a change of the pool's jobs.
     *
     * @param commit  the change, not null
     */
    void commit(Commit commit);

    /**
     * Handles that a job's acceptance or a change of its phase is stored.
     *
     * @param job  the job's identifier, not null
     * @param phase  the phase that is stored, not null
     */
    void phaseStored(String job, JobPhase phase);

    /**
     * Handles that another owner has taken over the pool.
     *
     * @param workerId  the identifier of the worker that refused an order as fenced, not null
     */
    void ownershipLost(String workerId);

    /**
     * Logs a decision.
     *
     * @param decision  the decision, not null
     */
    void logDecision(Decision decision);
}
