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

        private Simulation withPlan(Intent intent, int executorCount, int breaksOneIn) {
            Plan plan = PLANNER.plan(intent, fleet.snapshot(), nowMillis + fleet.plans.size());
            fleet.store.put("plans/" + plan.digest(), WaveStateCodec.encode(WaveState.of(plan, "operator", nowMillis)));
            fleet.plans.add(plan.digest());
            for (int i = 0; i < executorCount; i++) {
                executors.add(new FakeExecutor(fleet, plan.digest(), breaksOneIn));
            }
            return this;
        }

        private void runOneStep(boolean faults) {
            nowMillis += fleet.random.nextInt(faults ? 40 : 100);
            int what = fleet.random.nextInt(faults ? 200 : 100);
            if (what < 30) {
                fleet.randomElement(executors).runOneTask(nowMillis);
            } else if (what == 150) {
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

        /** Every worker is in service, or it was set aside or retired, is held by a ledger, and was reported. */
        private void checkFinalState() {
            for (WorkerId worker : fleet.workers.keySet()) {
                boolean left = states().stream()
                        .anyMatch(state -> state.cordonedWorkers().contains(worker));
                assertEquals(left, fleet.cordoned(worker), () -> worker + " in " + states());
                assertTrue(left || fleet.workers.get(worker).live(), () -> worker + " is out of service unreported");
                BudgetLedger ledger =
                        fleet.ledger(fleet.view().poolOf(worker).orElseThrow()).withoutAbandoned(this::abandoned);
                assertEquals(left, ledger.stopOf(worker).isPresent(), () -> worker + " in " + ledger);
            }
            long setAside = states().stream()
                    .flatMap(state -> state.steps().values().stream())
                    .filter(step -> step.phase() == StepPhase.SET_ASIDE)
                    .count();
            long reported = fleet.events.stream()
                    .filter(event -> event.kind() == FleetEventKind.SET_ASIDE)
                    .count();
            assertTrue(reported <= setAside, "more set aside reports than steps");
        }

        private boolean abandoned(PlannedStop stop) {
            return !fleet.plan(stop.plan()).cordonedWorkers().contains(stop.worker());
        }
    }

    private static Simulation concurrentPlans(long seed, int breaksOneIn) {
        return new Simulation(seed)
                .withPlan(WaveIntent.of(Optional.empty()), 2, breaksOneIn)
                .withPlan(MoveIntent.of(WorkerId.of("clearance-r0-1"), FakeFleet.PRICING), 2, breaksOneIn)
                .withPlan(DrainIntent.of(DrainScope.WORKER, "pricing-r2-0"), 2, breaksOneIn);
    }

    @Property(tries = 30, seed = "20261203")
    void keepsBudgetsAndEndsPlansDespiteFaults(@ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
        Simulation run = concurrentPlans(seed, 12);
        run.fleet.setFaultsEnabled(true);
        for (int i = 0; i < FAULTY_STEPS; i++) {
            run.runOneStep(true);
        }
        run.runUntilPlansEnd();
        run.checkFinalState();
    }

    @Property(tries = 30, seed = "20261204")
    void cancelledDrainLeavesNoWorkerStopped(@ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
        Simulation run = concurrentPlans(seed, 0);
        run.fleet.setFaultsEnabled(true);
        int cancelAt = run.fleet.random.nextInt(FAULTY_STEPS);
        for (int i = 0; i < FAULTY_STEPS; i++) {
            if (i >= cancelAt && i % 100 == 0) {
                run.executors.forEach(FakeExecutor::cancel);
            }
            run.runOneStep(true);
        }
        run.runUntilPlansEnd();
        run.checkFinalState();
        boolean retired = run.states().stream()
                .filter(WaveState::cancelled)
                .anyMatch(state -> state.plan()
                        .steps()
                        .anyMatch(step -> step.kind() == StepKind.RETIRE
                                && state.state(step).phase() == StepPhase.DONE));
        assertFalse(retired, "a cancelled drain left a worker stopped");
    }

    /** The naive variant: the ledger is read, checked and then written without a comparison. */
    @Test
    void writingTheLedgerWithoutCompareAndSwapBreaksTheFloor() {
        int broken = 0;
        for (long seed = 0; seed < 20; seed++) {
            Simulation run = new Simulation(seed);
            run.fleet.store.ignoreLedgerRevision();
            run.withPlan(WaveIntent.of(Optional.of(FakeFleet.PRICING)), 2, 0);
            for (int rack = 0; rack < 3; rack++) {
                run.withPlan(DrainIntent.of(DrainScope.WORKER, "pricing-r" + rack + "-1"), 2, 0);
            }
            run.fleet.setFaultsEnabled(true);
            try {
                for (int i = 0; i < FAULTY_STEPS; i++) {
                    run.runOneStep(true);
                }
            } catch (AssertionError e) {
                broken++;
            }
        }
        assertTrue(broken > 0, "check-then-write never broke a floor, so the runs don't race");
    }

    @Test
    void reachesTheSameEndAfterACrashAtAnyStep() {
        Simulation whole = new Simulation(7).withPlan(WaveIntent.of(Optional.empty()), 1, 0);
        int turns = 0;
        while (!whole.allEnded()) {
            whole.runOneStep(false);
            turns++;
        }
        List<WaveState> expected = whole.states();
        for (int diesAt = 0; diesAt < turns; diesAt += Math.max(1, turns / 40)) {
            Simulation run = new Simulation(7).withPlan(WaveIntent.of(Optional.empty()), 1, 0);
            for (int i = 0; i < diesAt; i++) {
                run.runOneStep(false);
            }
            run.executors.get(0).crash();
            run.runUntilPlansEnd();
            run.checkFinalState();
            assertEquals(phases(expected), phases(run.states()), "died at turn " + diesAt + ": " + run.states());
        }
    }

    private static List<StepPhase> phases(List<WaveState> states) {
        return states.stream()
                .flatMap(state -> state.steps().values().stream())
                .map(PlanStepState::phase)
                .toList();
    }
}
