package org.trefoilpost.entry.peer;

import org.trefoilpost.decision.plan.PlanDigest;
import org.trefoilpost.model.WorkerId;

/**
 * Asks how many requests a peer has in flight on a cordoned worker.
 */
public final class DrainQuery implements PeerCall {
    private final long callId;
    private final PlanDigest plan;
    private final int step;
    private final int attempt;
    private final WorkerId worker;

    private DrainQuery(long callId, PlanDigest plan, int step, int attempt, WorkerId worker) {
        this.callId = callId;
        this.plan = plan;
        this.step = step;
        this.attempt = attempt;
        this.worker = worker;
    }

    /**
     * Obtains a message.
     *
     * @param callId  the number of the call
     * @param plan  the digest of the plan, not null
     * @param step  the number of the step
     * @param attempt  the attempt of the step, whose cordon the query carries
     * @param worker  the worker, not null
     * @return the message, not null
     */
    public static DrainQuery of(long callId, PlanDigest plan, int step, int attempt, WorkerId worker) {
        return new DrainQuery(callId, plan, step, attempt, worker);
    }

    @Override
    public long callId() {
        return callId;
    }

    /**
     * Returns the digest of the plan.
     *
     * @return the digest of the plan, not null
     */
    public PlanDigest plan() {
        return plan;
    }

    /**
     * Returns the number of the step.
     *
     * @return the number of the step
     */
    public int step() {
        return step;
    }

    /**
     * Returns the attempt of the step, whose cordon the query carries.
     *
     * @return the attempt
     */
    public int attempt() {
        return attempt;
    }

    /**
     * Returns the worker.
     *
     * @return the worker, not null
     */
    public WorkerId worker() {
        return worker;
    }

    /**
     * Returns the kind of the message with its values.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "DrainQuery(" + callId + ", " + plan + ", " + step + ", " + attempt + ", " + worker + ")";
    }
}
