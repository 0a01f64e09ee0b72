package org.trefoilpost.decision.planner;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.trefoilpost.decision.plan.Plan;
import org.trefoilpost.decision.plan.PlanMeasures;
import org.trefoilpost.decision.plan.PlanRefusal;
import org.trefoilpost.decision.plan.PlanRefusalReason;
import org.trefoilpost.decision.plan.ResizeIntent;
import org.trefoilpost.decision.plan.StepKind;
import org.trefoilpost.model.PoolName;

/**
 * Computes plans that restore the budgets of pools after failures.
 *
 * <p>A pool with negative headroom first gets back its own stopped workers that can take work again, then borrows from
 * the pools with the most headroom. A loan is returned once the borrower keeps a headroom of at least 1 without it, so
 * that the same worker isn't lent back and forth; a headroom of 0 is enough if the lender's own headroom is negative.
 */
public final class RepairPlanner {
    private RepairPlanner() {}

    /**
     * Computes the repairs that the fleet needs.
     *
     * @param snapshot  the state of the fleet, not null
     * @param nowMillis  the current time in milliseconds since the Unix epoch
     * @return a plan for each pool that needs a repair, not null, empty if none does
     */
    public static List<Plan> repairs(FleetSnapshot snapshot, long nowMillis) {
        Set<PoolName> pools = new TreeSet<>(snapshot.inventory().pools().keySet());
        pools.addAll(snapshot.budgetedPools());
        List<Plan> repairs = new ArrayList<>();
        for (PoolName pool : pools) {
            FleetDraft draft = new FleetDraft(snapshot, pools);
            List<PlanRefusal> refusals = new ArrayList<>();
            int missing = -draft.pool(pool).headroom();
            if (missing > 0) {
                restoreBudget(draft, draft.pool(pool), missing, refusals);
            } else {
                returnLoans(draft, draft.pool(pool));
            }
            draft.endBatch();
            if (!draft.batches().isEmpty() || !refusals.isEmpty()) {
                ResizeIntent intent = ResizeIntent.of(missing > 0, pool, Math.max(1, Math.abs(missing)));
                repairs.add(Planner.build(
                        intent, snapshot, nowMillis, draft.batches(), draft.measures(), PlanMeasures.ZERO, refusals));
            }
        }
        return repairs;
    }

    private static void restoreBudget(FleetDraft draft, DraftPool pool, int missing, List<PlanRefusal> refusals) {
        int remaining = missing;
        for (DraftMember member : pool.members()) {
            if (remaining > 0 && member.hasPlannedStop() && member.usable()) {
                draft.addRelease(member.worker(), pool.name());
                remaining--;
            }
        }
        while (remaining > 0) {
            boolean lent = LoanCandidates.of(draft, pool).stream()
                    .findFirst()
                    .flatMap(loan -> draft.member(loan.worker()))
                    .map(member -> draft.tryShift(StepKind.LOAN, member, pool))
                    .orElse(false);
            if (!lent) {
                refusals.add(Planner.refusal(
                        remaining + " workers for pool " + pool.name(),
                        PlanRefusalReason.BUDGET,
                        "no pool can lend a worker; headroom " + pool.headroom()));
                return;
            }
            remaining--;
        }
    }

    private static void returnLoans(FleetDraft draft, DraftPool pool) {
        for (DraftMember member : List.copyOf(pool.members())) {
            Optional<DraftPool> lender = member.lender().map(draft::pool);
            if (lender.isEmpty() || !member.available()) {
                continue;
            }
            int requiredHeadroom = lender.get().headroom() < 0 ? 0 : 1;
            if (pool.headroomWithout(member) >= requiredHeadroom) {
                draft.tryShift(StepKind.RETURN, member, lender.get());
            }
        }
    }
}
