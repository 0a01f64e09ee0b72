package org.trefoilpost.entry.peer;

import java.util.Objects;
import org.trefoilpost.decision.plan.PlanDigest;
import org.trefoilpost.model.WorkerId;

/**
 * A change that a step of a plan makes to a worker: a cordon or an uncordon.
 */
public final class CordonChange {
    private final PlanDigest plan;
    private final int step;
    private final int attempt;
    private final WorkerId worker;
    private final boolean cordoned;

    private CordonChange(PlanDigest plan, int step, int attempt, WorkerId worker, boolean cordoned) {
        this.plan = plan;
        this.step = step;
        this.attempt = attempt;
        this.worker = worker;
        this.cordoned = cordoned;
    }

    /**
     * Creates a change.
     *
     * @param plan  the digest of the plan, not null
     * @param step  the number of the step in its plan
     * @param attempt  the number of the attempt of the step
     * @param worker  the worker, not null
     * @param cordoned  true for a cordon, false for an uncordon
     * @return the change, not null
     */
    public static CordonChange of(PlanDigest plan, int step, int attempt, WorkerId worker, boolean cordoned) {
        return new CordonChange(
                Objects.requireNonNull(plan, "plan"),
                step,
                attempt,
                Objects.requireNonNull(worker, "worker"),
                cordoned);
    }

    /**
     * Returns the digest of the plan.
     *
     * @return the digest, not null
     */
    public PlanDigest plan() {
        return plan;
    }

    /**
     * Returns the number of the step.
     *
     * @return the number
     */
    public int step() {
        return step;
    }

    /**
     * Returns the number of the attempt of the step.
     *
     * @return the number
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
     * Returns whether the change cordons the worker.
     *
     * @return true for a cordon, false for an uncordon
     */
    public boolean isCordoned() {
        return cordoned;
    }

    /**
     * Returns the direction of the change, the worker, the step and the plan.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return (cordoned ? "cordon " : "uncordon ") + worker + " by step " + step + " of " + plan;
    }
}
