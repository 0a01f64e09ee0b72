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
 * Makes repair plans after failures.
 *
 * <p>A pool under its budget first gets back its own workers that are out of service but answer again, then loans from
 * the pools with the most headroom. A loan goes back once its borrower can do without it: with a worker to spare, so that
 * it doesn't come and go, or at once if the lender itself is under its budget.
 */
public final class RepairPlanner {
    private RepairPlanner() {}

    /**
     * Makes the repairs that the fleet needs.
     *
     * @param snapshot  what the plans are computed from, not null
     * @param nowMillis  the present time in milliseconds since the Unix epoch
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
        int left = missing;
        for (DraftMember member : pool.members()) {
            if (left > 0 && member.hasPlannedStop() && member.usable()) {
                draft.addRelease(member.worker(), pool.name());
                left--;
            }
        }
        while (left > 0) {
            boolean lent = LoanCandidates.of(draft, pool).stream()
                    .findFirst()
                    .flatMap(loan -> draft.member(loan.worker()))
                    .map(member -> draft.tryShift(StepKind.LOAN, member, pool))
                    .orElse(false);
            if (!lent) {
                refusals.add(Planner.refusal(
                        left + " workers for pool " + pool.name(),
                        PlanRefusalReason.BUDGET,
                        "no pool can lend; headroom " + pool.headroom()));
                return;
            }
            left--;
        }
    }

    private static void returnLoans(FleetDraft draft, DraftPool pool) {
        for (DraftMember member : List.copyOf(pool.members())) {
            Optional<DraftPool> lender = member.lender().map(draft::pool);
            if (lender.isEmpty() || !member.available()) {
                continue;
            }
            int spare = lender.get().headroom() < 0 ? 0 : 1;
            if (pool.headroomWithout(member) >= spare) {
                draft.tryShift(StepKind.RETURN, member, lender.get());
            }
        }
    }
}
