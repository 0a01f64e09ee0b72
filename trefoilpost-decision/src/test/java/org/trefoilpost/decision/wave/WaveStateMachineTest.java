package org.trefoilpost.decision.wave;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.Fleets;
import org.trefoilpost.decision.event.FleetEventKind;
import org.trefoilpost.decision.plan.DrainIntent;
import org.trefoilpost.decision.plan.DrainScope;
import org.trefoilpost.decision.plan.Intent;
import org.trefoilpost.decision.plan.WaveIntent;
import org.trefoilpost.decision.planner.GreedyStrategy;
import org.trefoilpost.decision.planner.Planner;
import org.trefoilpost.model.EntryId;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.WorkerId;

class WaveStateMachineTest {
    private static final PoolName A = PoolName.of("a");
    private static final WaveStateMachine STATE_MACHINE = WaveStateMachine.of(StepLimits.DEFAULT);
    private static final long HOUR_MILLIS = 3_600_000;

    private static WaveState started(Intent intent) {
        var snapshot = Fleets.snapshot(Fleets.view(Fleets.racks("a a a")), 1, 0, 0);
        var plan = Planner.of(new GreedyStrategy()).plan(intent, snapshot, 1);
        return after(WaveState.of(plan, "amina", 1), WaveResumed.INSTANCE, 1);
    }

    private static WaveState after(WaveState state, WaveEvent event, long now) {
        return STATE_MACHINE.handle(state, event, now).stream()
                .filter(SaveState.class::isInstance)
                .map(action -> ((SaveState) action).state())
                .findFirst()
                .orElse(state);
    }

    private static WaveState completed(WaveState state, StepPhase... phases) {
        WaveState next = state;
        for (StepPhase phase : phases) {
            next = after(next, PhaseCompleted.of(1, next.steps().get(1).attempt(), phase, 4), 2);
        }
        return next;
    }

    private static WaveState draining() {
        return completed(
                started(WaveIntent.of(Optional.of(A))), StepPhase.ADMIT, StepPhase.CORDON, StepPhase.CHECKPOINT);
    }

    @Test
    void returnsStepActionsOnlyAfterTheStateWasWritten() {
        WaveState draining = draining();
        List<WaveAction> actions = STATE_MACHINE.handle(draining, DrainReport.of(1, 1, true, 4, 0), 3);
        assertEquals(1, actions.size());
        SaveState save = (SaveState) actions.get(0);
        List<WaveAction> acts = STATE_MACHINE.handle(save.state(), WaveSaved.of(draining), 3);
        assertEquals(StepPhase.STOP, ((StepAction) acts.get(0)).phase());
        assertEquals(4, ((StepAction) acts.get(0)).incarnation());
        assertEquals(save.state(), WaveStateCodec.decode(WaveStateCodec.encode(save.state())));
    }

    @Test
    void ignoresReportsOfAnEarlierAttempt() {
        WaveState undone = after(draining(), BudgetExceeded.of(A, 1), 3);
        WaveState again = completed(undone, StepPhase.UNCORDON, StepPhase.RELEASE);
        assertEquals("admit/2", again.steps().get(1).toString());
        assertEquals(again, after(again, PhaseCompleted.of(1, 1, StepPhase.ADMIT, 0), 4));
        WaveState drainingAgain = completed(again, StepPhase.ADMIT, StepPhase.CORDON, StepPhase.CHECKPOINT);
        assertEquals(drainingAgain, after(drainingAgain, DrainReport.of(1, 1, true, 4, 0), 4));
    }

    @Test
    void undoesADrainWhenTheBudgetIsExceededButNeverAStop() {
        WaveState undone = after(draining(), DrainReport.of(1, 1, true, 4, -1), 3);
        assertEquals("uncordon/1 undone", undone.steps().get(1).toString());
        WaveState stopping = after(draining(), DrainReport.of(1, 1, true, 4, 0), 3);
        assertEquals(stopping, after(stopping, BudgetExceeded.of(A, 1), 4));
        assertEquals(
                "stop/1",
                after(stopping, CancelRequested.of("karim"), 4).steps().get(1).toString());
    }

    @Test
    void setsAsideAStepThatTimedOutAndStartsTheNextBatch() {
        WaveState late = after(draining(), WaveTick.INSTANCE, HOUR_MILLIS);
        assertEquals("uncordon/1 drain-timeout", late.steps().get(1).toString());
        WaveState freed = completed(late, StepPhase.UNCORDON, StepPhase.RELEASE);
        assertEquals(StepPhase.SET_ASIDE, freed.steps().get(1).phase());
        assertFalse(freed.steps().get(1).keepsPlannedStop());
        assertEquals(StepPhase.ADMIT, freed.steps().get(2).phase(), "the next batch has begun");
        WaveState stopping = after(draining(), DrainReport.of(1, 1, true, 4, 0), 3);
        SaveState kept = (SaveState)
                STATE_MACHINE.handle(stopping, WaveTick.INSTANCE, HOUR_MILLIS).get(0);
        assertTrue(kept.state().steps().get(1).keepsPlannedStop(), "a worker that may be stopped keeps its budget");
        assertEquals(FleetEventKind.SET_ASIDE, kept.events().get(0).kind());
        assertEquals(Set.of(WorkerId.of("r0-w0")), kept.state().cordonedWorkers());
    }

    @Test
    void cancelReturnsTheStoppedWorkerOfADrainToService() {
        WaveState stopping = after(
                completed(
                        started(DrainIntent.of(DrainScope.WORKER, "r0-w0")),
                        StepPhase.ADMIT,
                        StepPhase.CORDON,
                        StepPhase.CHECKPOINT),
                DrainReport.of(1, 1, true, 4, 0),
                3);
        WaveState cancelled = after(stopping, CancelRequested.of("karim"), 3);
        WaveState back = completed(
                cancelled, StepPhase.STOP, StepPhase.REBOOT, StepPhase.PROBE, StepPhase.UNCORDON, StepPhase.RELEASE);
        assertEquals(StepPhase.CANCELLED, back.steps().get(1).phase());
        assertTrue(back.cordonedWorkers().isEmpty());
    }

    @Test
    void countsOnlyEntriesThatAcknowledgedTheCordon() {
        EntryId first = EntryId.of("e1");
        EntryId second = EntryId.of("e2");
        Set<EntryId> entries = Set.of(first, second);
        InFlightCounts tally = InFlightCounts.of(2).withReport(first, 2, 0).withReport(second, 1, 0);
        assertEquals(
                Set.of(second), tally.undrainedEntries(entries), "its count is older than the cordon of attempt 2");
        assertTrue(tally.withReport(second, 2, 0).drained(entries));
        assertFalse(tally.withReport(second, 2, 3).drained(entries));
        assertTrue(tally.withEntryGone(second).drained(entries));
    }

    @Test
    void ordersCordonsByTheirAttempt() {
        WorkerId worker = WorkerId.of("r0-w0");
        WaveState draining = draining();
        var digest = draining.plan().digest();
        CordonRegister register = new CordonRegister();
        register.cordon(digest, 1, 1, worker);
        register.uncordon(digest, 1, 1, worker);
        register.cordon(digest, 1, 1, worker);
        assertFalse(register.cordoned(worker), "a late cordon");
        register.cordon(digest, 1, 2, worker);
        register.uncordon(digest, 1, 1, worker);
        assertTrue(register.cordoned(worker), "a late uncordon");
        CordonRegister restarted = new CordonRegister();
        restarted.load(after(draining, CancelRequested.of("karim"), 3));
        restarted.cordon(digest, 1, 1, worker);
        assertFalse(restarted.cordoned(worker), "a late cordon after a restart");
    }
}
