package org.trefoilpost.decision.planner;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.trefoilpost.decision.plan.PlanRefusal;
import org.trefoilpost.decision.plan.PlanRefusalReason;
import org.trefoilpost.decision.plan.ResizeIntent;
import org.trefoilpost.decision.plan.StepKind;
import org.trefoilpost.model.WorkerId;

/**
 * Drafts the growth and shrinkage of pools.
 *
 * <p>A pool grows by workers without a pool, then by workers of the pools with the most headroom. It shrinks in favour of
 * the pool with the least headroom, since every worker belongs to a pool.
 */
final class ResizePlanner {
    private ResizePlanner() {}

    static void draft(ResizeIntent intent, FleetSnapshot snapshot, FleetDraft draft, List<PlanRefusal> refusals) {
        DraftPool pool = draft.pool(intent.pool());
        if (pool == null) {
            refusals.add(Planner.refusal(
                    "pool " + intent.pool(), PlanRefusalReason.UNKNOWN, "no budget and no worker names it"));
            return;
        }
        int left = intent.workerCount();
        left -= intent.grow() ? grow(pool, snapshot, draft, left) : shrink(pool, draft, left);
        if (left > 0) {
            refusals.add(Planner.refusal(
                    left + " workers of pool " + intent.pool(),
                    PlanRefusalReason.BUDGET,
                    "no pool can spare more workers; headroom " + pool.headroom()));
        }
    }

    private static int grow(DraftPool pool, FleetSnapshot snapshot, FleetDraft draft, int wanted) {
        int done = 0;
        for (WorkerId worker : snapshot.inventory().unassignedWorkers()) {
            if (done < wanted) {
                draft.addAssignment(worker, pool);
                done++;
            }
        }
        while (done < wanted) {
            Optional<DraftLoan> best = LoanCandidates.of(draft, pool).stream().findFirst();
            boolean moved = best.flatMap(loan -> draft.member(loan.worker()))
                    .map(member -> draft.tryShift(StepKind.MOVE, member, pool))
                    .orElse(false);
            if (!moved) {
                return done;
            }
            done++;
        }
        return done;
    }

    private static int shrink(DraftPool pool, FleetDraft draft, int wanted) {
        Optional<DraftPool> target =
                draft.pools().stream().filter(other -> other != pool).min(Comparator.comparingInt(DraftPool::headroom));
        int done = 0;
        while (target.isPresent() && done < wanted) {
            Optional<DraftMember> member = pool.members().stream()
                    .filter(candidate -> draft.selectable(candidate) && pool.headroomWithout(candidate) >= 0)
                    .max(Comparator.comparingInt(pool::domainSize));
            if (member.isEmpty() || !draft.tryShift(StepKind.MOVE, member.get(), target.get())) {
                return done;
            }
            done++;
        }
        return done;
    }
}
