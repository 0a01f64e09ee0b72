package org.trefoilpost.decision.wave;

import java.util.Objects;
import org.trefoilpost.decision.plan.PlanDigest;

/**
 * Requests that the plan is marked as ended in the index of confirmed plans.
 */
public final class EndPlan implements WaveAction {
    private final PlanDigest plan;

    private EndPlan(PlanDigest plan) {
        this.plan = Objects.requireNonNull(plan, "plan");
    }

    /**
     * Obtains the action.
     *
     * @param plan  the digest of the plan, not null
     * @return the action, not null
     */
    public static EndPlan of(PlanDigest plan) {
        return new EndPlan(plan);
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
     * Returns the type and the fields.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "EndPlan" + " " + plan;
    }
}
