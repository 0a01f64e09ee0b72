package org.trefoilpost.decision.plan;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * What was decided on the confirmation of a plan.
 */
public final class ConfirmationDecision {
    private final ConfirmationOutcome outcome;
    private final Optional<PlanIndex> index;
    private final List<ConfirmedPlan> earlierPlans;
    private final List<VersionChange> changes;

    private ConfirmationDecision(
            ConfirmationOutcome outcome,
            Optional<PlanIndex> index,
            List<ConfirmedPlan> others,
            List<VersionChange> changes) {
        this.outcome = Objects.requireNonNull(outcome, "outcome");
        this.index = index;
        this.earlierPlans = List.copyOf(others);
        this.changes = List.copyOf(changes);
    }

    static ConfirmationDecision confirmed(PlanIndex index) {
        return new ConfirmationDecision(ConfirmationOutcome.CONFIRMED, Optional.of(index), List.of(), List.of());
    }

    static ConfirmationDecision alreadyConfirmed(ConfirmedPlan plan) {
        return new ConfirmationDecision(
                ConfirmationOutcome.ALREADY_CONFIRMED, Optional.empty(), List.of(plan), List.of());
    }

    static ConfirmationDecision voided(List<ConfirmedPlan> others, List<VersionChange> changes) {
        return new ConfirmationDecision(ConfirmationOutcome.VOID, Optional.empty(), others, changes);
    }

    static ConfirmationDecision nothingToDo() {
        return new ConfirmationDecision(ConfirmationOutcome.NOTHING_TO_DO, Optional.empty(), List.of(), List.of());
    }

    /**
     * Returns the outcome.
     *
     * @return the outcome, not null
     */
    public ConfirmationOutcome outcome() {
        return outcome;
    }

    /**
     * Returns the index to write by a compare-and-swap; on a conflict the confirmation is decided anew.
     *
     * @return the index, not null, empty unless confirmed
     */
    public Optional<PlanIndex> index() {
        return index;
    }

    /**
     * Returns the plans that were confirmed first, with their operators.
     *
     * @return the plans, unmodifiable, not null
     */
    public List<ConfirmedPlan> earlierPlans() {
        return earlierPlans;
    }

    /**
     * Returns the documents that changed after the plan was computed.
     *
     * @return the changes, unmodifiable, not null
     */
    public List<VersionChange> changes() {
        return changes;
    }

    /**
     * Returns the outcome with who was first and what changed.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return outcome.code() + " " + earlierPlans + " " + changes;
    }
}
