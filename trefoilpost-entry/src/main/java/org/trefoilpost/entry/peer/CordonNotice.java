package org.trefoilpost.entry.peer;

import org.trefoilpost.decision.plan.PlanDigest;
import org.trefoilpost.model.WorkerId;

/**
 * Tells that a worker is cordoned or uncordoned by a step of a plan.
 */
public final class CordonNotice implements PeerMessage {
    private final PlanDigest plan;
    private final int step;
    private final int attempt;
    private final WorkerId worker;
    private final boolean cordoned;

    private CordonNotice(PlanDigest plan, int step, int attempt, WorkerId worker, boolean cordoned) {
        this.plan = plan;
        this.step = step;
        this.attempt = attempt;
        this.worker = worker;
        this.cordoned = cordoned;
    }

    /**
     * Obtains a message.
     *
     * @param plan  the digest of the plan, not null
     * @param step  the number of the step
     * @param attempt  the attempt of the step
     * @param worker  the worker, not null
     * @param cordoned  the truth whether the worker is cordoned
     * @return the message, not null
     */
    public static CordonNotice of(PlanDigest plan, int step, int attempt, WorkerId worker, boolean cordoned) {
        return new CordonNotice(plan, step, attempt, worker, cordoned);
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
     * Returns the attempt of the step.
     *
     * @return the attempt of the step
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
     * Returns the truth whether the worker is cordoned.
     *
     * @return the truth whether the worker is cordoned
     */
    public boolean cordoned() {
        return cordoned;
    }

    /**
     * Returns the kind of the message with its values.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "CordonNotice(" + plan + ", " + step + ", " + attempt + ", " + worker + ", " + cordoned + ")";
    }
}
