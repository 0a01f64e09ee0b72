package org.trefoilpost.decision.wave;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.event.FleetEventKind;
import org.trefoilpost.decision.ledger.BudgetLedger;
import org.trefoilpost.decision.ledger.PlannedStop;
import org.trefoilpost.decision.plan.DrainIntent;
import org.trefoilpost.decision.plan.DrainScope;
import org.trefoilpost.decision.plan.Intent;
import org.trefoilpost.decision.plan.MoveIntent;
import org.trefoilpost.decision.plan.Plan;
import org.trefoilpost.decision.plan.StepKind;
import org.trefoilpost.decision.plan.WaveIntent;
import org.trefoilpost.decision.planner.LeastCostStrategy;
import org.trefoilpost.decision.planner.Planner;
import org.trefoilpost.model.WorkerId;

/**
 * Interleaves the executors of several plans with lost, late and duplicated messages and writes, crashes and rack failures,
 * and checks after each step that the pools keep their floors.
 */
class WaveInterleavingTest {
    private static final Planner PLANNER = Planner.of(LeastCostStrategy.withRequiredLoans());
    private static final int FAULTY_STEPS = 6_000;
    private static final int MAX_STEPS = 200_000;

    private static final class Simulation {
        private final FakeFleet fleet;
        private final List<FakeExecutor> executors = new ArrayList<>();
        private long nowMillis = 1_000_000;

        private Simulation(long seed) {
            this.fleet = new FakeFleet(new Random(seed));
        }

        private Simulation withPlan(Intent intent, int executorCount, int rebootFailsOneIn) {
            Plan plan = PLANNER.plan(intent, fleet.snapshot(), nowMillis + fleet.plans.size());
            fleet.store.put("plans/" + plan.digest(), WaveStateCodec.encode(WaveState.of(plan, "operator", nowMillis)));
            fleet.plans.add(plan.digest());
            for (int i = 0; i < executorCount; i++) {
                executors.add(new FakeExecutor(fleet, plan.digest(), rebootFailsOneIn));
            }
            return this;
        }

        private void runOneStep(boolean faults) {
            nowMillis += fleet.random.nextInt(faults ? 40 : 100);
            int choice = fleet.random.nextInt(faults ? 200 : 100);
            if (choice < 30) {
                fleet.randomElement(executors).runOneTask(nowMillis);
            } else if (choice == 150) {
                fleet.randomElement(executors).crash();
            } else {
                fleet.runRandomEvent();
            }
            fleet.checkInvariants();
        }

        private void runUntilPlansEnd() {
            fleet.setFaultsEnabled(false);
            for (int i = 0; i < MAX_STEPS && !allEnded(); i++) {
                runOneStep(false);
            }
            assertTrue(allEnded(), () -> "plans did not end: " + states());
        }

        private boolean allEnded() {
            return executors.stream().allMatch(FakeExecutor::ended);
        }

        private List<WaveState> states() {
            return fleet.plans.stream().map(fleet::plan).toList();
        }

        /**
         * Checks that each worker is in service, or else was set aside or retired by a plan, is cordoned and has a planned
         * stop in its ledger.
         */
        private void checkFinalState() {
            for (WorkerId worker : fleet.workers.keySet()) {
                boolean outOfService = states().stream()
                        .anyMatch(state -> state.cordonedWorkers().contains(worker));
                assertEquals(outOfService, fleet.cordoned(worker), () -> worker + " in " + states());
                assertTrue(
                        outOfService || fleet.workers.get(worker).live(),
                        () -> worker + " is not live, but no plan keeps it out of service");
                BudgetLedger ledger =
                        fleet.ledger(fleet.view().poolOf(worker).orElseThrow()).withoutAbandoned(this::abandoned);
                assertEquals(outOfService, ledger.stopOf(worker).isPresent(), () -> worker + " in " + ledger);
            }
            long setAside = states().stream()
                    .flatMap(state -> state.steps().values().stream())
                    .filter(step -> step.phase() == StepPhase.SET_ASIDE)
                    .count();
            long reported = fleet.events.stream()
                    .filter(event -> event.kind() == FleetEventKind.SET_ASIDE)
                    .count();
            assertTrue(reported <= setAside, "more set-aside events than steps that were set aside");
        }

        private boolean abandoned(PlannedStop stop) {
            return !fleet.plan(stop.plan()).cordonedWorkers().contains(stop.worker());
        }
    }

    private static Simulation concurrentPlans(long seed, int rebootFailsOneIn) {
        return new Simulation(seed)
                .withPlan(WaveIntent.of(Optional.empty()), 2, rebootFailsOneIn)
                .withPlan(MoveIntent.of(WorkerId.of("clearance-r0-1"), FakeFleet.PRICING), 2, rebootFailsOneIn)
                .withPlan(DrainIntent.of(DrainScope.WORKER, "pricing-r2-0"), 2, rebootFailsOneIn);
    }

    @Property(tries = 30, seed = "20261203")
    void keepsBudgetsAndEndsPlansDespiteFaults(@ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
        Simulation simulation = concurrentPlans(seed, 12);
        simulation.fleet.setFaultsEnabled(true);
        for (int i = 0; i < FAULTY_STEPS; i++) {
            simulation.runOneStep(true);
        }
        simulation.runUntilPlansEnd();
        simulation.checkFinalState();
    }

    @Property(tries = 30, seed = "20261204")
    void cancelledDrainLeavesNoWorkerStopped(@ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
        Simulation simulation = concurrentPlans(seed, 0);
        simulation.fleet.setFaultsEnabled(true);
        int cancelAt = simulation.fleet.random.nextInt(FAULTY_STEPS);
        for (int i = 0; i < FAULTY_STEPS; i++) {
            if (i >= cancelAt && i % 100 == 0) {
                simulation.executors.forEach(FakeExecutor::cancel);
            }
            simulation.runOneStep(true);
        }
        simulation.runUntilPlansEnd();
        simulation.checkFinalState();
        boolean retired = simulation.states().stream()
                .filter(WaveState::cancelled)
                .anyMatch(state -> state.plan()
                        .steps()
                        .anyMatch(step -> step.kind() == StepKind.RETIRE
                                && state.state(step).phase() == StepPhase.DONE));
        assertFalse(retired, "a cancelled drain left a worker stopped");
    }

    /** Proves that the simulation races: without the compare-and-swap, two executors use the same headroom. */
    @Test
    void writingTheLedgerWithoutCompareAndSwapBreaksTheFloor() {
        int brokenRuns = 0;
        for (long seed = 0; seed < 20; seed++) {
            Simulation simulation = new Simulation(seed);
            simulation.fleet.store.ignoreLedgerRevision();
            simulation.withPlan(WaveIntent.of(Optional.of(FakeFleet.PRICING)), 2, 0);
            for (int rack = 0; rack < 3; rack++) {
                simulation.withPlan(DrainIntent.of(DrainScope.WORKER, "pricing-r" + rack + "-1"), 2, 0);
            }
            simulation.fleet.setFaultsEnabled(true);
            try {
                for (int i = 0; i < FAULTY_STEPS; i++) {
                    simulation.runOneStep(true);
                }
            } catch (AssertionError e) {
                brokenRuns++;
            }
        }
        assertTrue(brokenRuns > 0, "no run broke a floor without the compare-and-swap, so the executors don't race");
    }

    @Test
    void reachesTheSameEndAfterACrashAtAnyStep() {
        Simulation uninterrupted = new Simulation(7).withPlan(WaveIntent.of(Optional.empty()), 1, 0);
        int steps = 0;
        while (!uninterrupted.allEnded()) {
            uninterrupted.runOneStep(false);
            steps++;
        }
        List<WaveState> expected = uninterrupted.states();
        for (int crashAt = 0; crashAt < steps; crashAt += Math.max(1, steps / 40)) {
            Simulation simulation = new Simulation(7).withPlan(WaveIntent.of(Optional.empty()), 1, 0);
            for (int i = 0; i < crashAt; i++) {
                simulation.runOneStep(false);
            }
            simulation.executors.get(0).crash();
            simulation.runUntilPlansEnd();
            simulation.checkFinalState();
            assertEquals(
                    phases(expected),
                    phases(simulation.states()),
                    "crashed at step " + crashAt + ": " + simulation.states());
        }
    }

    private static List<StepPhase> phases(List<WaveState> states) {
        return states.stream()
                .flatMap(state -> state.steps().values().stream())
                .map(PlanStepState::phase)
                .toList();
    }
}
