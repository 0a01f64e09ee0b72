package org.trefoilpost.decision.wave;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.trefoilpost.decision.event.FleetEvent;
import org.trefoilpost.decision.event.FleetEventKind;
import org.trefoilpost.decision.plan.PlanStep;

/**
 * Derives the events to record from a change of a plan's state.
 */
final class StateChangeEvents {
    private StateChangeEvents() {}

    static List<FleetEvent> between(WaveState before, WaveState after, long nowMillis) {
        List<FleetEvent> events = new ArrayList<>();
        if (after.cancelled() && !before.cancelled()) {
            events.add(planEvent(FleetEventKind.PLAN_CANCELLED, after, nowMillis, "an operator cancelled the plan"));
        }
        after.plan().steps().forEach(step -> {
            PlanStepState state = after.state(step);
            if (!state.equals(before.state(step))) {
                eventKind(before.state(step), state)
                        .ifPresent(kind -> events.add(stepEvent(kind, after, step, nowMillis)));
            }
        });
        if (after.ended() && !before.ended()) {
            events.add(planEvent(FleetEventKind.PLAN_ENDED, after, nowMillis, "all steps have ended"));
        }
        return events;
    }

    private static Optional<FleetEventKind> eventKind(PlanStepState before, PlanStepState after) {
        switch (after.phase()) {
            case DONE:
                return Optional.of(FleetEventKind.STEP_DONE);
            case CANCELLED:
                return Optional.of(FleetEventKind.STEP_CANCELLED);
            case SET_ASIDE:
                return Optional.of(FleetEventKind.SET_ASIDE);
            default:
                boolean undone = after.cause() == StepCause.UNDONE && before.cause() != StepCause.UNDONE;
                return undone ? Optional.of(FleetEventKind.STEP_UNDONE) : Optional.empty();
        }
    }

    private static FleetEvent planEvent(FleetEventKind kind, WaveState state, long nowMillis, String cause) {
        return FleetEvent.builder(kind, nowMillis, cause)
                .plan(state.plan().digest())
                .build();
    }

    private static FleetEvent stepEvent(FleetEventKind kind, WaveState state, PlanStep step, long nowMillis) {
        PlanStepState reached = state.state(step);
        return FleetEvent.builder(
                        kind,
                        nowMillis,
                        step.kind().code() + ": " + reached.cause().code())
                .figures("attempt " + reached.attempt() + ", budget " + (reached.keepsPlannedStop() ? "kept" : "freed"))
                .plan(state.plan().digest())
                .pool(step.pool())
                .worker(step.worker())
                .build();
    }
}
