package org.trefoilpost.decision.job;

/**
 * Carries out what a pool's scheduler decides. No method waits; results come back as events.
 */
public interface PoolActions {
    /**
     * Sends an order to a worker.
     *
     * @param order  the order, not null
     */
    void send(WorkerOrder order);

    /**
     * Asks for placement advice.
     *
     * @param request  the request, not null
     */
    void requestAdvice(AdviceRequest request);

    /**
     * Stores a change.
     *
     * @param commit  the change, not null
     */
    void commit(Commit commit);

    /**
     * Is told that a job's acceptance or cancellation is stored.
     *
     * @param job  the job, not null
     * @param phase  the phase that is stored, not null
     */
    void phaseStored(String job, JobPhase phase);

    /**
     * Is told that another scheduler has taken the pool over.
     *
     * @param worker  the worker that said so, not null
     */
    void ownershipLost(String worker);

    /**
     * Is told of a decision for the log.
     *
     * @param decision  the decision, not null
     */
    void logDecision(Decision decision);
}
