package org.trefoilpost.decision.plan;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The result of deciding whether an operator's confirmation of a plan takes effect.
 */
public final class ConfirmationDecision {
    private final ConfirmationOutcome outcome;
    private final Optional<PlanIndex> index;
    private final List<ConfirmedPlan> earlierPlans;
    private final List<VersionChange> changes;

    private ConfirmationDecision(
            ConfirmationOutcome outcome,
            Optional<PlanIndex> index,
            List<ConfirmedPlan> earlierPlans,
            List<VersionChange> changes) {
        this.outcome = Objects.requireNonNull(outcome, "outcome");
        this.index = index;
        this.earlierPlans = List.copyOf(earlierPlans);
        this.changes = List.copyOf(changes);
    }

    static ConfirmationDecision confirmed(PlanIndex index) {
        return new ConfirmationDecision(ConfirmationOutcome.CONFIRMED, Optional.of(index), List.of(), List.of());
    }

    static ConfirmationDecision alreadyConfirmed(ConfirmedPlan plan) {
        return new ConfirmationDecision(
                ConfirmationOutcome.ALREADY_CONFIRMED, Optional.empty(), List.of(plan), List.of());
    }

    static ConfirmationDecision voided(List<ConfirmedPlan> earlierPlans, List<VersionChange> changes) {
        return new ConfirmationDecision(ConfirmationOutcome.VOID, Optional.empty(), earlierPlans, changes);
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
     * Returns the index to write with a compare-and-swap. If the write conflicts, the confirmation must be decided
     * again.
     *
     * @return the index with the plan added, not null, empty unless the outcome is {@code CONFIRMED}
     */
    public Optional<PlanIndex> index() {
        return index;
    }

    /**
     * Returns the plans confirmed earlier that prevent this confirmation: the same plan, or plans that touch the same
     * pools.
     *
     * @return the plans with the operators who confirmed them, unmodifiable, not null, may be empty
     */
    public List<ConfirmedPlan> earlierPlans() {
        return earlierPlans;
    }

    /**
     * Returns the documents that changed after the plan was computed.
     *
     * @return the changes, unmodifiable, not null, may be empty
     */
    public List<VersionChange> changes() {
        return changes;
    }

    /**
     * Returns the outcome, the plans confirmed earlier and the changed documents.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return outcome.code() + " " + earlierPlans + " " + changes;
    }
}
