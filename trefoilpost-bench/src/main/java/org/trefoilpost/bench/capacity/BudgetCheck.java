package org.trefoilpost.bench.capacity;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.trefoilpost.decision.inventory.PoolMember;
import org.trefoilpost.decision.inventory.PoolView;
import org.trefoilpost.decision.ledger.BudgetFigures;
import org.trefoilpost.decision.plan.PlanBatch;
import org.trefoilpost.decision.plan.PlanStep;
import org.trefoilpost.decision.planner.FleetSnapshot;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.WorkerId;

/**
 * Counts the batches of a plan that break a pool's budget, by the ledger's figures rather than the planner's.
 */
final class BudgetCheck {
    private BudgetCheck() {}

    static int breaches(FleetSnapshot snapshot, List<PlanBatch> batches) {
        Map<PoolName, Map<WorkerId, PoolMember>> pools = new HashMap<>();
        int breaches = 0;
        for (PlanBatch batch : batches) {
            Map<PoolName, Set<WorkerId>> stopped = new HashMap<>();
            for (PlanStep step : batch.steps()) {
                stopped.computeIfAbsent(step.pool(), pool -> new HashSet<>()).add(step.worker());
            }
            for (Map.Entry<PoolName, Set<WorkerId>> entry : stopped.entrySet()) {
                PoolName pool = entry.getKey();
                PoolView view = PoolView.of(pool, members(snapshot, pools, pool).values(), Map.of());
                BudgetFigures figures = BudgetFigures.of(view, entry.getValue(), snapshot.budget(pool));
                breaches += figures.holds() ? 0 : 1;
            }
            batch.steps().forEach(step -> shift(snapshot, pools, step));
        }
        return breaches;
    }

    private static Map<WorkerId, PoolMember> members(
            FleetSnapshot snapshot, Map<PoolName, Map<WorkerId, PoolMember>> pools, PoolName pool) {
        return pools.computeIfAbsent(pool, name -> {
            Map<WorkerId, PoolMember> members = new HashMap<>();
            snapshot.inventory().pool(name).members().forEach(member -> members.put(member.worker(), member));
            return members;
        });
    }

    private static void shift(FleetSnapshot snapshot, Map<PoolName, Map<WorkerId, PoolMember>> pools, PlanStep step) {
        Optional<PoolName> target = step.target();
        if (target.isPresent()) {
            PoolMember member = members(snapshot, pools, step.pool()).remove(step.worker());
            members(snapshot, pools, target.get()).put(step.worker(), member);
        }
    }
}
