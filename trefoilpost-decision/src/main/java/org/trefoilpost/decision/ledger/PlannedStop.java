package org.trefoilpost.decision.ledger;

import java.util.Objects;
import org.trefoilpost.decision.plan.PlanDigest;
import org.trefoilpost.model.WorkerId;

/**
 * A planned stop, or a move out of a pool, that a step of a plan has under way.
 */
public final class PlannedStop {
    private final WorkerId worker;
    private final PlanDigest plan;
    private final int step;
    private final long attempt;
    private final long admittedMillis;

    private PlannedStop(WorkerId worker, PlanDigest plan, int step, long epoch, long sinceMillis) {
        this.worker = Objects.requireNonNull(worker, "worker");
        this.plan = Objects.requireNonNull(plan, "plan");
        this.step = step;
        this.attempt = epoch;
        this.admittedMillis = sinceMillis;
    }

    /**
     * Obtains a planned stop.
     *
     * @param worker  the worker that stops or leaves, not null
     * @param plan  the digest of the plan, not null
     * @param step  the number of the plan's step
     * @param epoch  the attempt of the step, which grows when the step is undone and tried again
     * @param sinceMillis  when the stop was admitted, in milliseconds since the Unix epoch
     * @return the planned stop, not null
     */
    public static PlannedStop of(WorkerId worker, PlanDigest plan, int step, long epoch, long sinceMillis) {
        return new PlannedStop(worker, plan, step, epoch, sinceMillis);
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
     * Returns the digest of the plan.
     *
     * @return the digest, not null
     */
    public PlanDigest plan() {
        return plan;
    }

    /**
     * Returns the number of the plan's step.
     *
     * @return the step
     */
    public int step() {
        return step;
    }

    /**
     * Returns the attempt of the step.
     *
     * @return the epoch
     */
    public long attempt() {
        return attempt;
    }

    /**
     * Returns when the stop was admitted.
     *
     * @return the time in milliseconds since the Unix epoch
     */
    public long admittedMillis() {
        return admittedMillis;
    }

    /**
     * Returns whether another stop belongs to the same step of the same plan.
     *
     * @param other  the other stop, not null
     * @return true if it does
     */
    public boolean isSameStep(PlannedStop other) {
        return other.step == step && other.plan.equals(plan) && other.worker.equals(worker);
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof PlannedStop other
                && isSameStep(other)
                && other.attempt == attempt
                && other.admittedMillis == admittedMillis;
    }

    @Override
    public int hashCode() {
        return Objects.hash(worker, plan, step, attempt);
    }

    /**
     * Returns the worker, plan, step and epoch.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return worker + " by step " + step + "/" + attempt + " of plan " + plan;
    }
}
