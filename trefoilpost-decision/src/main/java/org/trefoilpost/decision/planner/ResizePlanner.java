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
 * Drafts plans that grow or shrink a pool.
 *
 * <p>A pool grows by unassigned workers first, then by workers of the pools with the most headroom. A pool that shrinks
 * gives its workers to the pool with the least headroom, so that none is left without a pool.
 */
final class ResizePlanner {
    private ResizePlanner() {}

    static void draft(ResizeIntent intent, FleetSnapshot snapshot, FleetDraft draft, List<PlanRefusal> refusals) {
        DraftPool pool = draft.pool(intent.pool());
        if (pool == null) {
            refusals.add(Planner.refusal(
                    "pool " + intent.pool(),
                    PlanRefusalReason.UNKNOWN,
                    "no such pool: neither a budget nor a worker names it"));
            return;
        }
        int remaining = intent.workerCount();
        remaining -= intent.grow() ? grow(pool, snapshot, draft, remaining) : shrink(pool, draft, remaining);
        if (remaining > 0) {
            refusals.add(Planner.refusal(
                    remaining + " workers of pool " + intent.pool(),
                    PlanRefusalReason.BUDGET,
                    "no pool can spare more workers; headroom " + pool.headroom()));
        }
    }

    private static int grow(DraftPool pool, FleetSnapshot snapshot, FleetDraft draft, int count) {
        int done = 0;
        for (WorkerId worker : snapshot.inventory().unassignedWorkers()) {
            if (done < count) {
                draft.addAssignment(worker, pool);
                done++;
            }
        }
        while (done < count) {
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

    private static int shrink(DraftPool pool, FleetDraft draft, int count) {
        Optional<DraftPool> target =
                draft.pools().stream().filter(other -> other != pool).min(Comparator.comparingInt(DraftPool::headroom));
        int done = 0;
        while (target.isPresent() && done < count) {
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
