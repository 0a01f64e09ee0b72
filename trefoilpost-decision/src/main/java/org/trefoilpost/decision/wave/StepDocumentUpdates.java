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
 * The changes that steps make to ledgers and inventories; each is idempotent.
 */
public final class StepDocumentUpdates {
    private StepDocumentUpdates() {}

    /**
     * Returns the planned stop that a step needs in the ledger of its pool.
     *
     * @param plan  the digest of the plan, not null
     * @param step  the step, not null
     * @param attempt  the attempt of the step
     * @param nowMillis  the present time in milliseconds since the Unix epoch
     * @return the stop, not null
     */
    public static PlannedStop plannedStop(PlanDigest plan, PlanStep step, int attempt, long nowMillis) {
        return PlannedStop.of(step.worker(), plan, step.number(), attempt, nowMillis);
    }

    /**
     * Returns the ledger of a step's pool without the planned stop that a release act ends.
     *
     * <p>A late act leaves the stops alone that were admitted after it: those of later attempts, and for a release of a
     * worker those that are newer than its plan.
     *
     * @param plan  the plan, not null
     * @param act  the release, not null
     * @param inventory  the inventory of the worker's rack, not null
     * @param ledger  the ledger of the step's pool, not null
     * @return the ledger, not null
     */
    public static BudgetLedger withoutPlannedStop(
            Plan plan, StepAction act, RackInventory inventory, BudgetLedger ledger) {
        PlanStep step = act.step();
        if (step.kind() == StepKind.RELEASE) {
            return ledger.withoutAbandoned(
                    stop -> stop.worker().equals(step.worker()) && stop.admittedMillis() <= plan.createdMillis());
        }
        PlannedStop stop = plannedStop(plan.digest(), step, act.attempt(), 0);
        return act.rackVersion() == 0
                ? ledger.withoutStop(stop)
                : ledger.withDeparture(stop, inventory.rack(), act.rackVersion());
    }

    /**
     * Returns the inventory of a rack after a step's shift; the same inventory if it has been made already.
     *
     * @param step  the step, which shifts its worker, not null
     * @param inventory  the inventory of the worker's rack, not null
     * @return the inventory, not null
     * @throws IllegalArgumentException if the rack doesn't have the worker or the step doesn't shift it
     */
    public static RackInventory withNewPool(PlanStep step, RackInventory inventory) {
        PoolName target = step.kind() == StepKind.ASSIGN
                ? step.pool()
                : step.target()
                        .orElseThrow(() -> new IllegalArgumentException("step " + step.number() + " shifts no worker"));
        boolean made =
                inventory.assignment(step.worker()).flatMap(Assignment::pool).equals(Optional.of(target));
        if (made) {
            return inventory;
        }
        return step.kind() == StepKind.LOAN
                ? inventory.withLoan(step.worker(), target)
                : inventory.withPool(step.worker(), target);
    }
}
