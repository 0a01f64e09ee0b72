package org.trefoilpost.decision.plan;

import java.util.List;

/**
 * Decides on the confirmation of plans.
 */
public final class PlanConfirmation {
    private PlanConfirmation() {}

    /**
     * Decides whether an operator's confirmation of a plan takes effect.
     *
     * <p>The plan's document is written before the index, where it does nothing until the index lists it. After a
     * conflict on the index, or an answer of the store that was lost, the index is read again and this is decided anew:
     * a confirmation that had taken effect is then found under the operator's own name.
     *
     * @param plan  the plan, not null
     * @param index  the index of confirmed plans, not null
     * @param present  the present versions of the documents that the plan was computed from, not null
     * @param operator  the operator who confirms, not null
     * @param nowMillis  the present time in milliseconds since the Unix epoch
     * @return the decision, not null
     */
    public static ConfirmationDecision decide(
            Plan plan, PlanIndex index, PlanVersions present, String operator, long nowMillis) {
        var known = index.plan(plan.digest());
        if (known.isPresent()) {
            return ConfirmationDecision.alreadyConfirmed(known.get());
        }
        if (plan.batches().isEmpty()) {
            return ConfirmationDecision.nothingToDo();
        }
        List<ConfirmedPlan> others = index.plans().stream()
                .filter(other -> other.indexVersion() > plan.versions().index())
                .filter(other -> other.pools().stream().anyMatch(plan.touchedPools()::contains))
                .toList();
        List<VersionChange> changes = plan.versions().changes(present);
        if (!others.isEmpty() || !changes.isEmpty()) {
            return ConfirmationDecision.voided(others, changes);
        }
        return ConfirmationDecision.confirmed(index.withPlan(plan, operator, nowMillis));
    }
}
