package org.trefoilpost.decision.wave;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.plan.Plan;
import org.trefoilpost.decision.plan.PlanBatch;
import org.trefoilpost.decision.plan.PlanMeasures;
import org.trefoilpost.decision.plan.PlanStep;
import org.trefoilpost.decision.plan.PlanVersions;
import org.trefoilpost.decision.plan.ReleaseIntent;
import org.trefoilpost.decision.plan.StepKind;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.WorkerId;

class OutOfServiceWorkersTest {
    private static final PoolName POOL = PoolName.of("a");
    private static final WorkerId WORKER = WorkerId.of("w-1");

    @Test
    void drainedWorkerStaysOutOfServiceUntilALaterRelease() {
        WaveState drained = state(StepKind.RETIRE, StepPhase.DONE, StepCause.NONE, 10);
        assertEquals(Set.of(WORKER), OutOfServiceWorkers.of(List.of(drained)).workers());
        assertTrue(OutOfServiceWorkers.of(List.of(drained)).keepsOutOfService(drained, WORKER));
        WaveState released = state(StepKind.RELEASE, StepPhase.DONE, StepCause.NONE, 20);
        OutOfServiceWorkers after = OutOfServiceWorkers.of(List.of(released, drained));
        assertEquals(Set.of(), after.workers());
        assertFalse(after.keepsOutOfService(drained, WORKER));
    }

    @Test
    void unfinishedOrFailedReleaseKeepsTheWorkerOutOfService() {
        WaveState drained = state(StepKind.RETIRE, StepPhase.DONE, StepCause.NONE, 10);
        for (StepPhase phase : List.of(StepPhase.REBOOT, StepPhase.PROBE)) {
            WaveState release = state(StepKind.RELEASE, phase, StepCause.NONE, 20);
            assertTrue(OutOfServiceWorkers.of(List.of(drained, release)).keepsOutOfService(drained, WORKER));
        }
        WaveState failed = state(StepKind.RELEASE, StepPhase.SET_ASIDE, StepCause.PROBE_TIMEOUT, 20);
        assertTrue(OutOfServiceWorkers.of(List.of(drained, failed)).keepsOutOfService(drained, WORKER));
    }

    @Test
    void drainAfterAReleaseTakesTheWorkerOutOfServiceAgain() {
        WaveState released = state(StepKind.RELEASE, StepPhase.DONE, StepCause.NONE, 20);
        WaveState drainedAnew = state(StepKind.RETIRE, StepPhase.DONE, StepCause.NONE, 30);
        OutOfServiceWorkers after = OutOfServiceWorkers.of(List.of(released, drainedAnew));
        assertEquals(Set.of(WORKER), after.workers());
        assertTrue(after.keepsOutOfService(drainedAnew, WORKER));
    }

    private static WaveState state(StepKind kind, StepPhase phase, StepCause cause, long confirmedMillis) {
        PlanStep step = PlanStep.of(1, kind, WORKER, POOL);
        PlanVersions versions = PlanVersions.of(1, 0, Map.of(), Map.of());
        Plan plan = Plan.builder(ReleaseIntent.of(WORKER), versions, confirmedMillis)
                .batches(List.of(PlanBatch.of(List.of(step), new TreeMap<>())))
                .measures(PlanMeasures.ZERO, PlanMeasures.ZERO)
                .build();
        PlanStepState reached = PlanStepState.PENDING.withCause(cause).withPhase(phase, confirmedMillis);
        return WaveState.of(plan, "amina", confirmedMillis).withSteps(new TreeMap<>(Map.of(1, reached)), false);
    }
}
