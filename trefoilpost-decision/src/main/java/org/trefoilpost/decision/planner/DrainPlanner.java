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
 * Drafts drains: the workers of the scope stop and stay out of service.
 *
 * <p>Where a pool's budget doesn't allow it, workers outside the scope are borrowed first.
 */
final class DrainPlanner {
    private DrainPlanner() {}

    static void draft(DrainIntent intent, FleetDraft draft, List<PlanRefusal> refusals) {
        List<DraftMember> scope = new ArrayList<>();
        draft.pools()
                .forEach(pool -> pool.members().stream()
                        .filter(member -> inScope(intent, member))
                        .forEach(scope::add));
        if (scope.isEmpty()) {
            refusals.add(Planner.refusal(
                    intent.scope().field() + " " + intent.name(),
                    PlanRefusalReason.UNKNOWN,
                    "no pool has such a worker"));
        }
        for (DraftPool pool : draft.pools()) {
            borrow(draft, pool, scope);
        }
        draft.endBatch();
        for (DraftMember member : scope) {
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
        String figures = "pool " + pool.name() + " has " + pool.available() + " available, " + pool.budget()
                + ", headroom " + pool.headroom();
        return Planner.refusal("worker " + member.worker(), reason, figures);
    }

    private static void borrow(FleetDraft draft, DraftPool pool, List<DraftMember> scope) {
        int loans = 0;
        int needed = missingWorkers(pool, scope, List.of());
        List<DraftMember> borrowed = new ArrayList<>();
        while (needed > 0 && loans < LeastCostStrategy.MAX_LOANS) {
            Optional<DraftMember> lent = draft.pools().stream()
                    .filter(lender -> lender != pool && missingWorkers(lender, scope, List.of()) < 0)
                    .flatMap(lender -> lender.members().stream())
                    .filter(member -> !scope.contains(member) && member.available())
                    .filter(member -> member.pool().headroomWithout(member) >= 0 && !borrowed.contains(member))
                    .min(Comparator.comparingInt((DraftMember member) -> pool.domainSize(member))
                            .thenComparing(DraftMember::worker));
            if (lent.isEmpty() || !draft.tryShift(StepKind.LOAN, lent.get(), pool)) {
                return;
            }
            borrowed.add(lent.get());
            needed = missingWorkers(pool, scope, borrowed);
            loans++;
        }
    }

    /** Returns how many workers the pool lacks if all of the scope stop, negative if it can spare some. */
    private static int missingWorkers(DraftPool pool, List<DraftMember> scope, List<DraftMember> borrowed) {
        List<DraftMember> own = scope.stream()
                .filter(member -> member.pool() == pool && member.available())
                .toList();
        own.forEach(pool::markUnavailable);
        borrowed.forEach(pool::markAvailable);
        int needed = -pool.headroom();
        borrowed.forEach(pool::markUnavailable);
        own.forEach(pool::markAvailable);
        return needed;
    }
}
