package org.trefoilpost.decision.planner;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.Fleets;
import org.trefoilpost.decision.inventory.InventoryView;
import org.trefoilpost.decision.inventory.RackInventory;
import org.trefoilpost.decision.ledger.BudgetFigures;
import org.trefoilpost.decision.ledger.BudgetLedger;
import org.trefoilpost.decision.ledger.PlannedStop;
import org.trefoilpost.decision.plan.DrainIntent;
import org.trefoilpost.decision.plan.DrainScope;
import org.trefoilpost.decision.plan.Intent;
import org.trefoilpost.decision.plan.MoveIntent;
import org.trefoilpost.decision.plan.Plan;
import org.trefoilpost.decision.plan.PlanBatch;
import org.trefoilpost.decision.plan.PlanDigest;
import org.trefoilpost.decision.plan.PlanRefusalReason;
import org.trefoilpost.decision.plan.PlanStep;
import org.trefoilpost.decision.plan.ReleaseIntent;
import org.trefoilpost.decision.plan.ResizeIntent;
import org.trefoilpost.decision.plan.StepKind;
import org.trefoilpost.decision.plan.WaveIntent;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.RackName;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.capacity.AvailabilityBudget;
import org.trefoilpost.model.capacity.FailureDomain;

class PlannerTest {
    private static final PoolName A = PoolName.of("a");
    private static final PoolName B = PoolName.of("b");
    private static final LeastCostStrategy LEAST_COST = LeastCostStrategy.withRequiredLoans();
    private static final Planner PLANNER = Planner.of(LEAST_COST);

    private static List<StepKind> kinds(Plan plan) {
        return plan.steps().map(PlanStep::kind).toList();
    }

    private static Plan plan(Intent intent, FleetSnapshot snapshot) {
        return PLANNER.plan(intent, snapshot, 1);
    }

    /** Replays the batches and checks each against the ledger's figures. */
    private static void checkBudgets(FleetSnapshot snapshot, List<PlanBatch> batches) {
        Map<WorkerId, RackInventory> rackOf = new HashMap<>();
        Map<RackName, RackInventory> racks = new HashMap<>(snapshot.inventory().racks());
        racks.values().forEach(rack -> rack.workers().keySet().forEach(worker -> rackOf.put(worker, rack)));
        for (PlanBatch batch : batches) {
            InventoryView view = Fleets.view(List.copyOf(racks.values()));
            Map<PoolName, Set<WorkerId>> stopped = new HashMap<>();
            batch.steps()
                    .forEach(step -> stopped.computeIfAbsent(step.pool(), pool -> new HashSet<>())
                            .add(step.worker()));
            stopped.forEach((pool, workers) -> {
                BudgetFigures figures = BudgetFigures.of(view.pool(pool), workers, snapshot.budget(pool));
                assertTrue(figures.holds(), () -> pool + " in " + batch + ": " + figures);
                assertEquals(figures.headroom(), batch.headroom().get(pool));
            });
            batch.steps().stream()
                    .filter(step -> step.kind().shifts())
                    .forEach(step -> racks.computeIfPresent(
                            rackOf.get(step.worker()).rack(),
                            (name, rack) ->
                                    rack.withPool(step.worker(), step.target().orElseThrow())));
        }
    }

    @Property(tries = 150, seed = "77")
    void everyStrategyKeepsBudgetsAndLeastCostIsNeverWorse(
            @ForAll @LongRange(min = 0, max = 1L << 40) long seed, @ForAll @IntRange(min = 1, max = 5) int floor) {
        Random random = new Random(seed);
        String[] racks = new String[6];
        for (int rack = 0; rack < racks.length; rack++) {
            racks[rack] = (random.nextBoolean() ? "a a" : "a b") + (random.nextBoolean() ? " b b" : " b a");
        }
        Map<PoolName, AvailabilityBudget> budgets = Map.of(
                A, AvailabilityBudget.of(floor, FailureDomain.RACK), B, AvailabilityBudget.of(4, FailureDomain.RACK));
        FleetSnapshot snapshot =
                FleetSnapshot.builder(Fleets.view(Fleets.racks(racks)), budgets).build();
        Set<PoolName> pools = new TreeSet<>(Set.of(A, B));
        WaveDraft chosen = LEAST_COST.draft(snapshot, pools);
        checkBudgets(snapshot, chosen.batches());
        for (WaveStrategy plain : List.of(new OneAtATimeStrategy(), new RackAtATimeStrategy(), new GreedyStrategy())) {
            WaveDraft draft = plain.draft(snapshot, pools);
            checkBudgets(snapshot, draft.batches());
            boolean comparable = draft.maintained() == chosen.maintained()
                    && chosen.measures().moves() == 0;
            double behind = chosen.measures().weightedCost(snapshot.weights())
                    - draft.measures().weightedCost(snapshot.weights());
            assertTrue(chosen.maintained() >= draft.maintained(), plain.name());
            assertTrue(!comparable || behind <= 0, () -> plain.name() + " is ahead by " + behind);
        }
        double least = LowerBounds.of(snapshot, pools).rollOutTime();
        assertTrue(chosen.measures().moves() > 0 || chosen.measures().rollOutTime() >= least);
    }

    @Test
    void borrowsWhereAPoolCannotBeMaintainedOtherwise() {
        FleetSnapshot snapshot = Fleets.snapshot(Fleets.view(Fleets.racks("a b", "a b", "b b")), 1, 1, 0);
        Plan plan = plan(WaveIntent.of(Optional.of(A)), snapshot);
        assertEquals(List.of(StepKind.LOAN, StepKind.MAINTAIN, StepKind.MAINTAIN, StepKind.RETURN), kinds(plan));
        assertEquals(2, plan.measures().moves());
        checkBudgets(snapshot, plan.batches());
        assertEquals(0, new GreedyStrategy().draft(snapshot, Set.of(A)).maintained());
    }

    @Test
    void listsWorkersThatAWaveLeavesOut() {
        FleetSnapshot snapshot = Fleets.snapshot(Fleets.view(Fleets.racks("a a a"), "r0-w0"), 1, 0, 0);
        Plan plan = plan(WaveIntent.of(Optional.of(A)), snapshot);
        assertEquals(
                Set.of(PlanRefusalReason.FAILED, PlanRefusalReason.BUDGET),
                Set.copyOf(plan.refusals().stream()
                        .map(refusal -> refusal.reason())
                        .toList()));
        assertEquals(
                "3 members - 1 failed - 0 planned - 1 reserve - 1 floor = 0",
                plan.refusals().get(0).detail());
    }

    @Test
    void drainsARackWithLoansAndRefusesTheRest() {
        InventoryView view = Fleets.view(Fleets.racks("a a", "a b", "b b", "b"));
        FleetSnapshot snapshot = Fleets.snapshot(view, 1, 2, 0);
        Plan plan = plan(DrainIntent.of(DrainScope.RACK, "r0"), snapshot);
        assertEquals(List.of(StepKind.LOAN, StepKind.RETIRE, StepKind.RETIRE), kinds(plan));
        checkBudgets(snapshot, plan.batches());
        Plan refused = plan(DrainIntent.of(DrainScope.RACK, "r0"), Fleets.snapshot(view, 3, 4, 0));
        assertEquals(2, refused.refusals().size());
        assertTrue(refused.batches().isEmpty());
        assertEquals(
                PlanRefusalReason.UNKNOWN,
                plan(DrainIntent.of(DrainScope.RACK, "r9"), snapshot)
                        .refusals()
                        .get(0)
                        .reason());
    }

    @Test
    void growsByUnassignedWorkersFirstAndShrinksWithinBudget() {
        FleetSnapshot snapshot = Fleets.snapshot(Fleets.view(Fleets.racks("a a -", "b b b", "b c")), 1, 1, 0);
        Plan grown = plan(ResizeIntent.of(true, A, 2), snapshot);
        assertEquals(List.of(StepKind.ASSIGN, StepKind.MOVE), kinds(grown));
        assertEquals(1, grown.measures().moves());
        Plan shrunk = plan(ResizeIntent.of(false, B, 9), snapshot);
        assertEquals(2, shrunk.steps().count());
        assertEquals(PlanRefusalReason.BUDGET, shrunk.refusals().get(0).reason());
        assertTrue(shrunk.steps().allMatch(step -> step.target().isPresent()), "no worker is left without a pool");
    }

    @Test
    void movesAndReleasesSingleWorkers() {
        InventoryView view = Fleets.view(Fleets.racks("a a a", "b b -"));
        FleetSnapshot snapshot = Fleets.snapshot(view, 1, 1, 0);
        WorkerId worker = WorkerId.of("r0-w0");
        assertEquals(List.of(StepKind.MOVE), kinds(plan(MoveIntent.of(worker, B), snapshot)));
        assertEquals(List.of(StepKind.ASSIGN), kinds(plan(MoveIntent.of(WorkerId.of("r1-w2"), B), snapshot)));
        assertEquals(
                PlanRefusalReason.BUDGET,
                plan(MoveIntent.of(WorkerId.of("r1-w0"), A), snapshot)
                        .refusals()
                        .get(0)
                        .reason());
        assertEquals(
                PlanRefusalReason.NOTHING_TO_DO,
                plan(ReleaseIntent.of(worker), snapshot).refusals().get(0).reason());
        FleetSnapshot held = withLedger(view, worker);
        assertEquals(List.of(StepKind.RELEASE), kinds(plan(ReleaseIntent.of(worker), held)));
        assertEquals(
                PlanRefusalReason.HELD_BY_ANOTHER_PLAN,
                plan(MoveIntent.of(worker, B), held).refusals().get(0).reason());
    }

    private static FleetSnapshot withLedger(InventoryView view, WorkerId worker) {
        Map<PoolName, AvailabilityBudget> budgets = Fleets.budgets(1, 1, 0);
        PlannedStop stop = PlannedStop.of(worker, PlanDigest.of("plan"), 1, 1, 0);
        BudgetLedger ledger = BudgetLedger.empty(A)
                .tryAdmit(stop, view.pool(A), budgets.get(A), 0)
                .ledger()
                .orElseThrow();
        return FleetSnapshot.builder(view, budgets).ledgers(Map.of(A, ledger)).build();
    }

    @Test
    void repairsAPoolByLoansAndReturnsThem() {
        List<RackInventory> racks = Fleets.racks("a a a", "b b b", "b b");
        FleetSnapshot failed = Fleets.snapshot(Fleets.view(racks, "r0-w0", "r0-w1"), 1, 1, 0);
        Plan repair = RepairPlanner.repairs(failed, 1).get(0);
        assertEquals(List.of(StepKind.LOAN), kinds(repair));
        assertTrue(RepairConsent.of(1, Set.of(B)).permits(repair, 0));
        assertFalse(RepairConsent.of(1, Set.of(B)).permits(repair, 1), "the moves of the day are used up");
        assertFalse(RepairConsent.of(9, Set.of(A)).permits(repair, 0), "the pool may not lend");
        assertFalse(RepairConsent.NONE.permits(repair, 0));
        WorkerId lent = repair.steps().findFirst().orElseThrow().worker();
        List<RackInventory> after = racks.stream()
                .map(rack -> rack.assignment(lent).isPresent() ? rack.withLoan(lent, A) : rack)
                .toList();
        assertTrue(RepairPlanner.repairs(Fleets.snapshot(Fleets.view(after, "r0-w0", "r0-w1"), 1, 1, 0), 2)
                .isEmpty());
        Plan back = RepairPlanner.repairs(Fleets.snapshot(Fleets.view(after), 1, 1, 0), 3)
                .get(0);
        assertEquals(List.of(StepKind.RETURN), kinds(back));
    }

    @Test
    void maintainsEveryWorkerOnceInACycle() {
        String[] racks = new String[30];
        for (int rack = 0; rack < racks.length; rack++) {
            racks[rack] = "p" + rack % 7 + " p" + rack % 5 + " p" + rack % 3 + " p" + rack % 2;
        }
        FleetSnapshot snapshot = FleetSnapshot.builder(Fleets.view(Fleets.racks(racks)), Map.of())
                .build();
        FleetCalendar calendar = FleetCalendar.of(snapshot, LEAST_COST);
        List<WorkerId> workers = calendar.slots().stream()
                .flatMap(slot -> slot.batches().stream())
                .flatMap(List::stream)
                .toList();
        assertEquals(120, workers.size());
        assertEquals(120, Set.copyOf(workers).size());
        assertEquals(0, calendar.omittedWorkers());
        assertTrue(calendar.endMinute() <= FleetCalendar.CYCLE_DAYS * 24 * 60);
    }
}
