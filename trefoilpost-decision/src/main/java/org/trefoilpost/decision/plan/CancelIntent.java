package org.trefoilpost.decision.plan;

import java.util.Objects;

/**
 * An intent to cancel a confirmed plan.
 */
public final class CancelIntent implements Intent {
    private final PlanDigest plan;

    private CancelIntent(PlanDigest plan) {
        this.plan = Objects.requireNonNull(plan, "plan");
    }

    /**
     * Returns an intent to cancel a plan.
     *
     * @param plan  the digest of the plan to cancel, not null
     * @return the intent, not null
     */
    public static CancelIntent of(PlanDigest plan) {
        return new CancelIntent(plan);
    }

    @Override
    public String kind() {
        return "cancel";
    }

    /**
     * Returns the digest of the plan to cancel.
     *
     * @return the digest of the plan, not null
     */
    public PlanDigest plan() {
        return plan;
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof CancelIntent other && other.plan.equals(plan);
    }

    @Override
    public int hashCode() {
        return Objects.hash(plan);
    }

    /**
     * Returns the kind and the values of the fields.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return kind() + " " + plan;
    }
}
