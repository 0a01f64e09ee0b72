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
 * A plan that is drafted batch by batch.
 *
 * <p>A step that stops a worker is added only if the budget of the worker's pool holds while all steps of the batch are
 * under way, so no draft breaks a budget.
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

    FleetDraft(FleetSnapshot snapshot, Collection<PoolName> poolNames) {
        this.estimates = snapshot.estimates();
        for (PoolName name : poolNames) {
            DraftPool pool = new DraftPool(name, snapshot.budget(name));
            BudgetLedger ledger = snapshot.ledger(name);
            for (PoolMember member : snapshot.inventory().pool(name).members()) {
                boolean hasPlannedStop = ledger.stopOf(member.worker()).isPresent();
                DraftMember drafted = new DraftMember(member, pool, hasPlannedStop);
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

    /**
     * Adds a step that stops the worker and leaves it in its pool. Returns false if the worker is unavailable or in use
     * by the batch, or the budget would break.
     */
    boolean tryStop(StepKind kind, DraftMember member) {
        if (!selectable(member) || !canStop(member)) {
            return false;
        }
        addToBatch(PlanStep.of(++stepCount, kind, member.worker(), member.pool().name()), member);
        return true;
    }

    /**
     * Adds a step that shifts the worker to another pool. Returns false if it is there already, is unavailable
     * or in use by the batch, or its pool's budget would break.
     */
    boolean tryShift(StepKind kind, DraftMember member, DraftPool target) {
        if (member.pool() == target || !selectable(member) || !canStop(member)) {
            return false;
        }
        addToBatch(
                PlanStep.shift(++stepCount, kind, member.worker(), member.pool().name(), target.name()), member);
        moves++;
        return true;
    }

    /** Adds a step that assigns a worker without a pool to its first pool. */
    void addAssignment(WorkerId worker, DraftPool target) {
        stepsWithoutStop.add(PlanStep.of(++stepCount, StepKind.ASSIGN, worker, target.name()));
    }

    /** Adds a step that brings a worker back into service. */
    void addRelease(WorkerId worker, PoolName pool) {
        stepsWithoutStop.add(PlanStep.of(++stepCount, StepKind.RELEASE, worker, pool));
    }

    /** Returns whether a member is available and no step of the current batch uses it. */
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

    /**
     * Ends the batch, if it has steps: maintained workers are available again, shifted ones join their new pool,
     * retired ones stay out.
     */
    void endBatch() {
        if (stepsInBatch.isEmpty() && stepsWithoutStop.isEmpty()) {
            return;
        }
        Set<PoolName> usedPools = new TreeSet<>();
        SortedMap<PoolName, Integer> headroom = new TreeMap<>();
        double longestMinutes = 0;
        for (PlanStep step : stepsInBatch.keySet()) {
            usedPools.add(step.pool());
            headroom.put(step.pool(), pools.get(step.pool()).headroom());
            longestMinutes = Math.max(
                    longestMinutes, step.kind().shifts() ? estimates.shiftMinutes() : estimates.maintenanceMinutes());
        }
        if (!stepsWithoutStop.isEmpty()) {
            longestMinutes = Math.max(longestMinutes, estimates.maintenanceMinutes());
        }
        for (DraftPool pool : pools.values()) {
            pool.endBatch(batches.size(), usedPools.contains(pool.name()));
        }
        List<PlanStep> batchSteps = new ArrayList<>(stepsWithoutStop);
        batchSteps.addAll(stepsInBatch.keySet());
        batches.add(PlanBatch.of(batchSteps, headroom));
        batchMinutes.add(longestMinutes);
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
        double bufferCost = 0;
        for (DraftPool pool : pools.values()) {
            bufferCost += pool.bufferCost(batchMinutes);
        }
        double rollOutTime =
                batchMinutes.stream().mapToDouble(Double::doubleValue).sum();
        return PlanMeasures.of(bufferCost, rollOutTime, moves);
    }
}
