package org.trefoilpost.decision.planner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.trefoilpost.decision.plan.DrainIntent;
import org.trefoilpost.decision.plan.DrainScope;
import org.trefoilpost.decision.plan.PlanRefusal;
import org.trefoilpost.decision.plan.PlanRefusalReason;
import org.trefoilpost.decision.plan.StepKind;

/**
 * Drafts drains: the workers of a worker, rack or data centre stop and stay out of service.
 *
 * <p>A pool whose budget doesn't allow the stops first borrows workers from outside the drained scope.
 */
final class DrainPlanner {
    private DrainPlanner() {}

    static void draft(DrainIntent intent, FleetDraft draft, List<PlanRefusal> refusals) {
        List<DraftMember> drained = new ArrayList<>();
        draft.pools()
                .forEach(pool -> pool.members().stream()
                        .filter(member -> inScope(intent, member))
                        .forEach(drained::add));
        if (drained.isEmpty()) {
            refusals.add(Planner.refusal(
                    intent.scope().field() + " " + intent.name(),
                    PlanRefusalReason.UNKNOWN,
                    "no pool has a matching worker"));
        }
        for (DraftPool pool : draft.pools()) {
            borrow(draft, pool, drained);
        }
        draft.endBatch();
        for (DraftMember member : drained) {
            if (!draft.tryStop(StepKind.RETIRE, member)) {
                refusals.add(refusal(member));
            }
        }
    }

    private static boolean inScope(DrainIntent intent, DraftMember member) {
        String name = intent.scope() == DrainScope.WORKER
                ? member.worker().text()
                : intent.scope() == DrainScope.RACK
                        ? member.rack().text()
                        : member.dataCentre().text();
        return name.equals(intent.name());
    }

    private static PlanRefusal refusal(DraftMember member) {
        PlanRefusalReason reason = member.hasPlannedStop()
                ? PlanRefusalReason.HELD_BY_ANOTHER_PLAN
                : member.usable() ? PlanRefusalReason.BUDGET : PlanRefusalReason.FAILED;
        DraftPool pool = member.pool();
        String detail = "pool " + pool.name() + " has " + pool.available() + " available, " + pool.budget()
                + ", headroom " + pool.headroom();
        return Planner.refusal("worker " + member.worker(), reason, detail);
    }

    private static void borrow(FleetDraft draft, DraftPool pool, List<DraftMember> drained) {
        int loans = 0;
        int missing = missingWorkers(pool, drained, List.of());
        List<DraftMember> borrowed = new ArrayList<>();
        while (missing > 0 && loans < LeastCostStrategy.MAX_LOANS) {
            Optional<DraftMember> lent = draft.pools().stream()
                    .filter(lender -> lender != pool && missingWorkers(lender, drained, List.of()) < 0)
                    .flatMap(lender -> lender.members().stream())
                    .filter(member -> !drained.contains(member) && member.available())
                    .filter(member -> member.pool().headroomWithout(member) >= 0 && !borrowed.contains(member))
                    .min(Comparator.comparingInt((DraftMember member) -> pool.domainSize(member))
                            .thenComparing(DraftMember::worker));
            if (lent.isEmpty() || !draft.tryShift(StepKind.LOAN, lent.get(), pool)) {
                return;
            }
            borrowed.add(lent.get());
            missing = missingWorkers(pool, drained, borrowed);
            loans++;
        }
    }

    /** Returns how many workers the pool lacks if all drained workers stop, negative if it has workers to spare. */
    private static int missingWorkers(DraftPool pool, List<DraftMember> drained, List<DraftMember> borrowed) {
        List<DraftMember> stopping = drained.stream()
                .filter(member -> member.pool() == pool && member.available())
                .toList();
        stopping.forEach(pool::markUnavailable);
        borrowed.forEach(pool::markAvailable);
        int missing = -pool.headroom();
        borrowed.forEach(pool::markUnavailable);
        stopping.forEach(pool::markAvailable);
        return missing;
    }
}
