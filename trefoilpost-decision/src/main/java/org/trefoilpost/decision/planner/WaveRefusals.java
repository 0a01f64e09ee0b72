package org.trefoilpost.decision.planner;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.trefoilpost.decision.inventory.PoolMember;
import org.trefoilpost.decision.ledger.BudgetFigures;
import org.trefoilpost.decision.plan.PlanRefusal;
import org.trefoilpost.decision.plan.PlanRefusalReason;
import org.trefoilpost.decision.plan.StepKind;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.WorkerId;

/**
 * Lists the workers that a wave leaves out and why.
 */
final class WaveRefusals {
    private WaveRefusals() {}

    static void collect(FleetSnapshot snapshot, Set<PoolName> pools, WaveDraft draft, List<PlanRefusal> refusals) {
        Set<WorkerId> maintained = new HashSet<>();
        draft.batches()
                .forEach(batch -> batch.steps().stream()
                        .filter(step -> step.kind() == StepKind.MAINTAIN)
                        .forEach(step -> maintained.add(step.worker())));
        for (PoolName pool : pools) {
            BudgetFigures figures = snapshot.figures(pool);
            for (PoolMember member : snapshot.inventory().pool(pool).members()) {
                if (!maintained.contains(member.worker())) {
                    refusals.add(PlanRefusal.of(
                            "worker " + member.worker(), reason(snapshot, pool, member), figures.toString()));
                }
            }
        }
    }

    private static PlanRefusalReason reason(FleetSnapshot snapshot, PoolName pool, PoolMember member) {
        if (snapshot.ledger(pool).stopOf(member.worker()).isPresent()) {
            return PlanRefusalReason.HELD_BY_ANOTHER_PLAN;
        }
        return member.usable() ? PlanRefusalReason.BUDGET : PlanRefusalReason.FAILED;
    }
}
