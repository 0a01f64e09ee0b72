package org.trefoilpost.decision.planner;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import org.trefoilpost.decision.inventory.PoolMember;
import org.trefoilpost.decision.ledger.BudgetLedger;
import org.trefoilpost.decision.plan.PlanBatch;
import org.trefoilpost.decision.plan.PlanMeasures;
import org.trefoilpost.decision.plan.PlanStep;
import org.trefoilpost.decision.plan.StepKind;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.WorkerId;

/**
 * A plan while it is drafted, batch by batch.
 *
 * <p>A step is taken in only if the budget of its pool holds with all steps of the batch under way, so every draft keeps
 * the budgets.
 */
final class FleetDraft {
    private final WaveEstimates estimates;
    private final Map<PoolName, DraftPool> pools = new TreeMap<>();
    private final Map<WorkerId, DraftMember> members = new HashMap<>();
    private final List<PlanBatch> batches = new ArrayList<>();
    private final List<Double> batchMinutes = new ArrayList<>();
    private final Map<PlanStep, DraftMember> stepsInBatch = new LinkedHashMap<>();
    private final Set<DraftMember> membersInBatch = new HashSet<>();
    private final List<PlanStep> stepsWithoutStop = new ArrayList<>();
    private int stepCount;
    private int moves;

    FleetDraft(FleetSnapshot snapshot, Collection<PoolName> names) {
        this.estimates = snapshot.estimates();
        for (PoolName name : names) {
            DraftPool pool = new DraftPool(name, snapshot.budget(name));
            BudgetLedger ledger = snapshot.ledger(name);
            for (PoolMember member : snapshot.inventory().pool(name).members()) {
                boolean held = ledger.stopOf(member.worker()).isPresent();
                DraftMember drafted = new DraftMember(member, pool, held);
                pool.add(drafted);
                members.put(member.worker(), drafted);
            }
            pools.put(name, pool);
        }
    }

    Collection<DraftPool> pools() {
        return pools.values();
    }

    DraftPool pool(PoolName name) {
        return pools.get(name);
    }

    Optional<DraftMember> member(WorkerId worker) {
        return Optional.ofNullable(members.get(worker));
    }

    /** Adds a step that leaves the worker in its pool, if the budget holds with it. */
    boolean tryStop(StepKind kind, DraftMember member) {
        if (!selectable(member) || !canStop(member)) {
            return false;
        }
        addToBatch(PlanStep.of(++stepCount, kind, member.worker(), member.pool().name()), member);
        return true;
    }

    /** Adds a step that shifts the worker to another pool, if the budget of its present pool holds with it. */
    boolean tryShift(StepKind kind, DraftMember member, DraftPool target) {
        if (member.pool() == target || !selectable(member) || !canStop(member)) {
            return false;
        }
        addToBatch(
                PlanStep.shift(++stepCount, kind, member.worker(), member.pool().name(), target.name()), member);
        moves++;
        return true;
    }

    /** Adds a step that puts a worker without a pool into its first pool. */
    void addAssignment(WorkerId worker, DraftPool target) {
        stepsWithoutStop.add(PlanStep.of(++stepCount, StepKind.ASSIGN, worker, target.name()));
    }

    /** Adds a step that brings a worker back into service. */
    void addRelease(WorkerId worker, PoolName pool) {
        stepsWithoutStop.add(PlanStep.of(++stepCount, StepKind.RELEASE, worker, pool));
    }

    /** Returns whether no step of the present batch uses a free member. */
    boolean selectable(DraftMember member) {
        return member.available() && !membersInBatch.contains(member);
    }

    private static boolean canStop(DraftMember member) {
        return member.available() && member.pool().headroomWithout(member) >= 0;
    }

    private void addToBatch(PlanStep step, DraftMember member) {
        member.pool().markUnavailable(member);
        stepsInBatch.put(step, member);
        membersInBatch.add(member);
    }

    /** Ends the batch: maintained workers are back, shifted ones are in their new pool, retired ones stay out. */
    void endBatch() {
        if (stepsInBatch.isEmpty() && stepsWithoutStop.isEmpty()) {
            return;
        }
        Set<PoolName> used = new TreeSet<>();
        SortedMap<PoolName, Integer> headroom = new TreeMap<>();
        double longest = 0;
        for (PlanStep step : stepsInBatch.keySet()) {
            used.add(step.pool());
            headroom.put(step.pool(), pools.get(step.pool()).headroom());
            longest =
                    Math.max(longest, step.kind().shifts() ? estimates.shiftMinutes() : estimates.maintenanceMinutes());
        }
        if (!stepsWithoutStop.isEmpty()) {
            longest = Math.max(longest, estimates.maintenanceMinutes());
        }
        for (DraftPool pool : pools.values()) {
            pool.endBatch(batches.size(), used.contains(pool.name()));
        }
        List<PlanStep> all = new ArrayList<>(stepsWithoutStop);
        all.addAll(stepsInBatch.keySet());
        batches.add(PlanBatch.of(all, headroom));
        batchMinutes.add(longest);
        stepsInBatch.forEach(this::applyStep);
        stepsInBatch.clear();
        membersInBatch.clear();
        stepsWithoutStop.clear();
    }

    private void applyStep(PlanStep step, DraftMember member) {
        if (step.target().isPresent()) {
            member.pool().remove(member);
            pools.get(step.target().get()).add(member);
        } else if (step.kind() == StepKind.MAINTAIN) {
            member.pool().markAvailable(member);
        }
    }

    List<PlanBatch> batches() {
        return batches;
    }

    PlanMeasures measures() {
        double buffer = 0;
        for (DraftPool pool : pools.values()) {
            buffer += pool.bufferCost(batchMinutes);
        }
        double rollOut = batchMinutes.stream().mapToDouble(Double::doubleValue).sum();
        return PlanMeasures.of(buffer, rollOut, moves);
    }
}
