package org.trefoilpost.decision.wave;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;
import org.trefoilpost.decision.plan.Plan;
import org.trefoilpost.decision.plan.PlanBatch;
import org.trefoilpost.decision.plan.PlanStep;
import org.trefoilpost.decision.plan.StepKind;
import org.trefoilpost.model.PoolName;

/**
 * Decides what to do next for a confirmed plan.
 *
 * <p>The state passed in is always one that has been written. If an event changes it, the only action is to write the
 * new state; the acts that the change allows follow once that write succeeded. So each external act follows a recorded
 * intent, and of two executors with the same state only one goes on. An act may still reach its receiver late. It does
 * no harm there: a stop and a reboot name the worker's incarnation, a ledger or inventory write names the revision it
 * read, and cordons are ordered by their attempt.
 */
public final class WaveStateMachine {
    private final StepTransitions transitions;

    private WaveStateMachine(StepLimits limits) {
        this.transitions = new StepTransitions(limits);
    }

    /**
     * Obtains a stepper.
     *
     * @param limits  how long the phases may take, not null
     * @return the stepper, not null
     */
    public static WaveStateMachine of(StepLimits limits) {
        return new WaveStateMachine(Objects.requireNonNull(limits, "limits"));
    }

    /**
     * Decides what to do on an event.
     *
     * @param state  the state as it was last written or read, not null
     * @param event  the event, not null
     * @param nowMillis  the present time in milliseconds since the Unix epoch
     * @return the actions, not null; either one {@link SaveState} or acts that the present state allows
     */
    public List<WaveAction> handle(WaveState state, WaveEvent event, long nowMillis) {
        if (event instanceof WaveSaved saved) {
            return dueActions(state, saved.previous());
        }
        Change change = new Change(state);
        apply(change, event, nowMillis);
        startSteps(change, nowMillis);
        if (change.hasChanged()) {
            WaveState next = change.toState();
            return List.of(SaveState.of(next, StateChangeEvents.between(state, next, nowMillis)));
        }
        return event instanceof WaveTick || event instanceof WaveResumed ? dueActions(state, null) : List.of();
    }

    private void apply(Change change, WaveEvent event, long nowMillis) {
        if (event instanceof WaveTick) {
            change.state
                    .steps()
                    .keySet()
                    .forEach(number -> change.put(number, transitions.expire(change.stateOf(number), nowMillis)));
        } else if (event instanceof PhaseCompleted report) {
            change.update(report.step(), step -> transitions.complete(step, change.stateOf(step), report, nowMillis));
        } else if (event instanceof DrainReport report) {
            change.update(report.step(), step -> transitions.drain(step, change.stateOf(step), report, nowMillis));
        } else if (event instanceof BudgetExceeded exceeded) {
            undoSteps(change, exceeded.pool(), exceeded.excess(), nowMillis);
        } else if (event instanceof CancelRequested && !change.state.cancelled() && !change.state.ended()) {
            change.cancelled = true;
            change.state
                    .plan()
                    .steps()
                    .forEach(step ->
                            change.put(step.number(), transitions.cancel(step, change.stateOf(step), nowMillis)));
        }
    }

    private void undoSteps(Change change, PoolName pool, int excess, long nowMillis) {
        int left = excess;
        List<PlanStep> undoable = new ArrayList<>();
        for (PlanStep step : change.state.plan().steps().toList()) {
            PlanStepState state = change.stateOf(step);
            if (!step.pool().equals(pool)) {
                continue;
            }
            if (state.phase().undoable()) {
                undoable.add(step);
            } else if (state.phase() == StepPhase.UNCORDON || state.phase() == StepPhase.RELEASE) {
                left--;
            }
        }
        for (int i = undoable.size() - 1; i >= 0 && left > 0; i--) {
            PlanStep step = undoable.get(i);
            change.put(step.number(), transitions.undo(change.stateOf(step), nowMillis));
            left--;
        }
    }

    private void startSteps(Change change, long nowMillis) {
        for (PlanBatch batch : change.state.plan().batches()) {
            boolean ended = true;
            for (PlanStep step : batch.steps()) {
                if (change.stateOf(step).phase() == StepPhase.PENDING) {
                    change.put(step.number(), startedState(change, step, nowMillis));
                }
                ended &= change.stateOf(step).phase().ended();
            }
            if (!ended) {
                return;
            }
        }
    }

    private PlanStepState startedState(Change change, PlanStep step, long nowMillis) {
        PlanStepState state = change.stateOf(step);
        boolean returns = step.kind() == StepKind.RETURN;
        if (returns && !isLoanMade(change, step)) {
            return state.withCause(StepCause.LOAN_NOT_MADE).withPhase(StepPhase.CANCELLED, nowMillis);
        }
        if (change.cancelled && !returns) {
            return state.withCause(StepCause.CANCELLED).withPhase(StepPhase.CANCELLED, nowMillis);
        }
        return transitions.start(step, state, nowMillis);
    }

    private static boolean isLoanMade(Change change, PlanStep returning) {
        Plan plan = change.state.plan();
        return plan.steps()
                .filter(step -> step.kind() == StepKind.LOAN && step.worker().equals(returning.worker()))
                .allMatch(step -> change.stateOf(step).phase() == StepPhase.DONE);
    }

    private static List<WaveAction> dueActions(WaveState state, WaveState previous) {
        List<WaveAction> acts = new ArrayList<>();
        state.plan().steps().forEach(step -> {
            PlanStepState present = state.state(step);
            boolean due = previous == null || !previous.state(step).equals(present);
            if (due && present.phase() != StepPhase.PENDING && !present.phase().ended()) {
                acts.add(StepAction.of(
                        step, present.phase(), present.attempt(), present.incarnation(), present.rackVersion()));
            }
        });
        if (state.ended()) {
            acts.add(EndPlan.of(state.plan().digest()));
        }
        return acts;
    }

    /**
     * The states of the steps while an event is applied.
     */
    private static final class Change {
        private final WaveState state;
        private final SortedMap<Integer, PlanStepState> steps;
        private boolean cancelled;

        private Change(WaveState state) {
            this.state = state;
            this.steps = new TreeMap<>(state.steps());
            this.cancelled = state.cancelled();
        }

        private PlanStepState stateOf(PlanStep step) {
            return steps.get(step.number());
        }

        private PlanStepState stateOf(int number) {
            return steps.get(number);
        }

        private void put(int number, PlanStepState newState) {
            steps.put(number, newState);
        }

        private void update(int number, Function<PlanStep, PlanStepState> rule) {
            state.plan().step(number).ifPresent(step -> put(number, rule.apply(step)));
        }

        private boolean hasChanged() {
            return cancelled != state.cancelled() || !steps.equals(state.steps());
        }

        private WaveState toState() {
            return state.withSteps(steps, cancelled);
        }
    }
}
