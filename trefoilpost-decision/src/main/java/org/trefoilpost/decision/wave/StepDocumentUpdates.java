package org.trefoilpost.decision.wave;

import java.util.Optional;
import org.trefoilpost.decision.inventory.Assignment;
import org.trefoilpost.decision.inventory.RackInventory;
import org.trefoilpost.decision.ledger.BudgetLedger;
import org.trefoilpost.decision.ledger.PlannedStop;
import org.trefoilpost.decision.plan.Plan;
import org.trefoilpost.decision.plan.PlanDigest;
import org.trefoilpost.decision.plan.PlanStep;
import org.trefoilpost.decision.plan.StepKind;
import org.trefoilpost.model.PoolName;

/**
 * Computes the changes that steps make to ledgers and inventories. All changes are idempotent.
 */
public final class StepDocumentUpdates {
    private StepDocumentUpdates() {}

    /**
     * Returns the planned stop that the ledger of a step's pool must admit before the step cordons its worker.
     *
     * @param plan  the digest of the plan, not null
     * @param step  the step, not null
     * @param attempt  the attempt of the step, counted from 1
     * @param nowMillis  the present time in milliseconds since the Unix epoch
     * @return the stop, not null
     */
    public static PlannedStop plannedStop(PlanDigest plan, PlanStep step, int attempt, long nowMillis) {
        return PlannedStop.of(step.worker(), plan, step.number(), attempt, nowMillis);
    }

    /**
     * Returns the ledger of a step's pool without the planned stop that the release phase of the step ends.
     *
     * <p>A late action does not remove stops that were admitted after it: those of later attempts and, if the step
     * releases a worker into service, those that are newer than the step's plan.
     *
     * @param plan  the plan, not null
     * @param action  the action of the release phase, not null
     * @param inventory  the inventory of the worker's rack, not null
     * @param ledger  the ledger of the step's pool, not null
     * @return the ledger, not null
     */
    public static BudgetLedger withoutPlannedStop(
            Plan plan, StepAction action, RackInventory inventory, BudgetLedger ledger) {
        PlanStep step = action.step();
        if (step.kind() == StepKind.RELEASE) {
            return ledger.withoutAbandoned(
                    stop -> stop.worker().equals(step.worker()) && stop.admittedMillis() <= plan.createdMillis());
        }
        PlannedStop stop = plannedStop(plan.digest(), step, action.attempt(), 0);
        return action.rackVersion() == 0
                ? ledger.withoutStop(stop)
                : ledger.withDeparture(stop, inventory.rack(), action.rackVersion());
    }

    /**
     * Returns the inventory of a rack with a step's worker in its new pool, or the same inventory if it is there already.
     *
     * @param step  the step, which assigns its worker to another pool, not null
     * @param inventory  the inventory of the worker's rack, not null
     * @return the inventory, not null
     * @throws IllegalArgumentException if the rack doesn't have the worker or the step doesn't change its pool
     */
    public static RackInventory withNewPool(PlanStep step, RackInventory inventory) {
        PoolName target = step.kind() == StepKind.ASSIGN
                ? step.pool()
                : step.target()
                        .orElseThrow(
                                () -> new IllegalArgumentException("step " + step.number() + " has no target pool"));
        boolean alreadyInTarget =
                inventory.assignment(step.worker()).flatMap(Assignment::pool).equals(Optional.of(target));
        if (alreadyInTarget) {
            return inventory;
        }
        return step.kind() == StepKind.LOAN
                ? inventory.withLoan(step.worker(), target)
                : inventory.withPool(step.worker(), target);
    }
}
