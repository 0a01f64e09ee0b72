package org.trefoilpost.decision.plan;

import java.util.List;

/**
 * Decides whether the confirmation of a plan takes effect.
 */
public final class PlanConfirmation {
    private PlanConfirmation() {}

    /**
     * Decides whether an operator's confirmation of a plan takes effect.
     *
     * <p>The plan's document is written before the index and has no effect until the index lists the plan. If the write
     * of the index conflicts, or the store's response to it is lost, the caller reads the index again and decides
     * again. A write that had succeeded is then found in the index as a confirmation by the same operator.
     *
     * @param plan  the plan, not null
     * @param index  the current index of confirmed plans, not null
     * @param currentVersions  the current versions of the documents that the plan was computed from, not null
     * @param operator  the operator who confirms, not null
     * @param nowMillis  the current time in milliseconds since the Unix epoch
     * @return the decision, not null
     */
    public static ConfirmationDecision decide(
            Plan plan, PlanIndex index, PlanVersions currentVersions, String operator, long nowMillis) {
        var listed = index.plan(plan.digest());
        if (listed.isPresent()) {
            return ConfirmationDecision.alreadyConfirmed(listed.get());
        }
        if (plan.batches().isEmpty()) {
            return ConfirmationDecision.nothingToDo();
        }
        List<ConfirmedPlan> conflicting = index.plans().stream()
                .filter(other -> other.indexVersion() > plan.versions().index())
                .filter(other -> other.pools().stream().anyMatch(plan.touchedPools()::contains))
                .toList();
        List<VersionChange> changes = plan.versions().changes(currentVersions);
        if (!conflicting.isEmpty() || !changes.isEmpty()) {
            return ConfirmationDecision.voided(conflicting, changes);
        }
        return ConfirmationDecision.confirmed(index.withPlan(plan, operator, nowMillis));
    }
}
