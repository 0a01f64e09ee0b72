package org.trefoilpost.decision.wave;

import org.trefoilpost.decision.plan.PlanStep;
import org.trefoilpost.decision.plan.StepKind;

/**
 * The transitions of a single step.
 */
final class StepTransitions {
    private final StepLimits limits;

    StepTransitions(StepLimits limits) {
        this.limits = limits;
    }

    PlanStepState start(PlanStep step, PlanStepState state, long nowMillis) {
        switch (step.kind()) {
            case RELEASE:
                return state.withPhase(StepPhase.REBOOT, nowMillis);
            case ASSIGN:
                return state.withPhase(StepPhase.SHIFT, nowMillis);
            default:
                return state.withPhase(StepPhase.ADMIT, nowMillis);
        }
    }

    PlanStepState complete(PlanStep step, PlanStepState state, PhaseCompleted report, long nowMillis) {
        if (report.phase() != state.phase() || report.attempt() != state.attempt()) {
            return state;
        }
        switch (state.phase()) {
            case ADMIT:
                return state.withPhase(StepPhase.CORDON, nowMillis);
            case CORDON:
                return state.withPhase(StepPhase.CHECKPOINT, nowMillis);
            case CHECKPOINT:
                return state.withPhase(StepPhase.DRAIN, nowMillis);
            case STOP:
                return afterStop(step, state, report.observed(), nowMillis);
            case REBOOT:
                return state.withPhase(StepPhase.PROBE, nowMillis);
            case PROBE:
                return state.withPhase(StepPhase.UNCORDON, nowMillis);
            case SHIFT:
                return state.withRackVersion(report.observed())
                        .withPhase(step.kind() == StepKind.ASSIGN ? StepPhase.DONE : StepPhase.UNCORDON, nowMillis);
            case UNCORDON:
                return state.withPhase(StepPhase.RELEASE, nowMillis);
            case RELEASE:
                return afterRelease(state, nowMillis);
            default:
                return state;
        }
    }

    private static PlanStepState afterStop(PlanStep step, PlanStepState state, long incarnation, long nowMillis) {
        boolean restarted = incarnation > state.incarnation();
        boolean retires = step.kind() == StepKind.RETIRE && state.cause() == StepCause.NONE;
        if (retires) {
            return restarted ? state.withIncarnation(incarnation) : state.withPhase(StepPhase.DONE, nowMillis);
        }
        return state.withPhase(restarted ? StepPhase.PROBE : StepPhase.REBOOT, nowMillis);
    }

    private static PlanStepState afterRelease(PlanStepState state, long nowMillis) {
        switch (state.cause()) {
            case NONE:
                return state.withPhase(StepPhase.DONE, nowMillis);
            case CANCELLED:
                return state.withPhase(StepPhase.CANCELLED, nowMillis);
            case UNDONE:
                return state.nextAttempt(nowMillis);
            default:
                return state.withPhase(StepPhase.SET_ASIDE, nowMillis);
        }
    }

    PlanStepState drain(PlanStep step, PlanStepState state, DrainReport report, long nowMillis) {
        if (state.phase() != StepPhase.DRAIN || report.attempt() != state.attempt()) {
            return state;
        }
        if (report.headroom() < 0) {
            return undo(state, nowMillis);
        }
        if (!report.drained()) {
            return state;
        }
        return step.kind().shifts()
                ? state.withPhase(StepPhase.SHIFT, nowMillis)
                : state.withIncarnation(report.incarnation()).withPhase(StepPhase.STOP, nowMillis);
    }

    PlanStepState undo(PlanStepState state, long nowMillis) {
        StepCause cause = state.attempt() < limits.maxAttempts() ? StepCause.UNDONE : StepCause.UNDONE_TOO_OFTEN;
        return state.withCause(cause).withPhase(StepPhase.UNCORDON, nowMillis);
    }

    PlanStepState expire(PlanStepState state, long nowMillis) {
        long limitMillis = limits.timeoutMillis(state.phase());
        if (nowMillis - state.sinceMillis() <= limitMillis) {
            return state;
        }
        switch (state.phase()) {
            case ADMIT:
                return state.withCause(StepCause.NOT_ADMITTED).withPhase(StepPhase.RELEASE, nowMillis);
            case CORDON:
            case CHECKPOINT:
            case DRAIN:
                return state.withCause(StepCause.DRAIN_TIMEOUT).withPhase(StepPhase.UNCORDON, nowMillis);
            case STOP:
                return state.withCause(StepCause.STOP_TIMEOUT).withPhase(StepPhase.SET_ASIDE, nowMillis);
            case REBOOT:
                return state.withCause(StepCause.REBOOT_TIMEOUT).withPhase(StepPhase.SET_ASIDE, nowMillis);
            case PROBE:
                return state.withCause(StepCause.PROBE_TIMEOUT).withPhase(StepPhase.SET_ASIDE, nowMillis);
            default:
                return state;
        }
    }

    PlanStepState cancel(PlanStep step, PlanStepState state, long nowMillis) {
        if (state.phase().undoable()) {
            return state.withCause(StepCause.CANCELLED).withPhase(StepPhase.UNCORDON, nowMillis);
        }
        if (state.phase() == StepPhase.ADMIT) {
            return state.withCause(StepCause.CANCELLED).withPhase(StepPhase.RELEASE, nowMillis);
        }
        if (state.cause() == StepCause.UNDONE) {
            return state.withCause(StepCause.CANCELLED);
        }
        if (step.kind() == StepKind.RETIRE && state.phase() == StepPhase.STOP) {
            return state.withCause(StepCause.CANCELLED);
        }
        if (step.kind() == StepKind.RETIRE && state.phase() == StepPhase.DONE) {
            return state.withCause(StepCause.CANCELLED).withPhase(StepPhase.REBOOT, nowMillis);
        }
        return state;
    }
}
