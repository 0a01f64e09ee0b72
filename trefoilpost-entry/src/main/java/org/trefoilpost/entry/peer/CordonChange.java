package org.trefoilpost.entry.peer;

import java.util.Objects;
import org.trefoilpost.decision.plan.PlanDigest;
import org.trefoilpost.model.WorkerId;

/**
 * A cordon or an uncordon of a worker by a step of a plan.
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
     * Obtains a cordon or an uncordon.
     *
     * @param plan  the digest of the plan, not null
     * @param step  the number of the step
     * @param attempt  the attempt of the step
     * @param worker  the worker, not null
     * @param cordoned  true for a cordon, false for an uncordon
     * @return the cordon, not null
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
     * Returns the attempt of the step.
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
     * Returns whether the worker is cordoned.
     *
     * @return true for a cordon, false for an uncordon
     */
    public boolean isCordoned() {
        return cordoned;
    }

    /**
     * Returns the worker and the step.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return (cordoned ? "cordon " : "uncordon ") + worker + " by step " + step + " of " + plan;
    }
}
