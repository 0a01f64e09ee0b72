package org.trefoilpost.decision.planner;

import java.util.List;
import java.util.Optional;
import org.trefoilpost.decision.plan.MoveIntent;
import org.trefoilpost.decision.plan.PlanRefusal;
import org.trefoilpost.decision.plan.PlanRefusalReason;
import org.trefoilpost.decision.plan.ReleaseIntent;
import org.trefoilpost.decision.plan.StepKind;
import org.trefoilpost.model.PoolName;

/**
 * Drafts moves and releases of single workers.
 */
final class SingleWorkerPlanner {
    private SingleWorkerPlanner() {}

    static void draftMove(MoveIntent intent, FleetSnapshot snapshot, FleetDraft draft, List<PlanRefusal> refusals) {
        DraftPool target = draft.pool(intent.pool());
        if (target == null) {
            refusals.add(Planner.refusal(
                    "pool " + intent.pool(), PlanRefusalReason.UNKNOWN, "no budget and no worker names it"));
            return;
        }
        if (snapshot.inventory().unassignedWorkers().contains(intent.worker())) {
            draft.addAssignment(intent.worker(), target);
            return;
        }
        String subject = "worker " + intent.worker();
        Optional<DraftMember> member = draft.member(intent.worker());
        if (member.isEmpty()) {
            refusals.add(Planner.refusal(subject, PlanRefusalReason.UNKNOWN, "no rack has it"));
        } else if (member.get().pool() == target) {
            refusals.add(Planner.refusal(subject, PlanRefusalReason.NOTHING_TO_DO, "it is in the pool"));
        } else if (!draft.tryShift(StepKind.MOVE, member.get(), target)) {
            PoolName pool = member.get().pool().name();
            refusals.add(Planner.refusal(
                    subject,
                    member.get().hasPlannedStop() ? PlanRefusalReason.HELD_BY_ANOTHER_PLAN : PlanRefusalReason.BUDGET,
                    "pool " + pool + ": " + snapshot.figures(pool)));
        }
    }

    static void draftRelease(
            ReleaseIntent intent, FleetSnapshot snapshot, FleetDraft draft, List<PlanRefusal> refusals) {
        String subject = "worker " + intent.worker();
        Optional<PoolName> pool = snapshot.inventory().poolOf(intent.worker());
        if (pool.isEmpty()) {
            refusals.add(Planner.refusal(subject, PlanRefusalReason.UNKNOWN, "no pool has it"));
        } else if (snapshot.ledger(pool.get()).stopOf(intent.worker()).isEmpty()) {
            refusals.add(Planner.refusal(subject, PlanRefusalReason.NOTHING_TO_DO, "no planned stop holds it"));
        } else {
            draft.addRelease(intent.worker(), pool.get());
        }
    }
}
