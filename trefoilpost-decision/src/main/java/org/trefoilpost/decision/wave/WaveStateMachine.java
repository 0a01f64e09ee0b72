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
 * Decides which actions the executor of a confirmed plan takes next.
 *
 * <p>The state passed in is always one that has been written. If an event changes it, the only action is to write the
 * new state; the actions that the change allows follow once that write has succeeded. Each external action is thus
 * preceded by a recorded intent, and of two executors with the same state only one continues. An action that reaches its
 * receiver late has no harmful effect: stops and reboots carry the worker's incarnation, writes of ledgers and inventories
 * carry the revision that was read, and cordons are ordered by their attempt.
 */
public final class WaveStateMachine {
    private final StepTransitions transitions;

    private WaveStateMachine(StepLimits limits) {
        this.transitions = new StepTransitions(limits);
    }

    /**
     * Obtains a state machine.
     *
     * @param limits  the timeouts of the phases and the number of attempts, not null
     * @return the state machine, not null
     */
    public static WaveStateMachine of(StepLimits limits) {
        return new WaveStateMachine(Objects.requireNonNull(limits, "limits"));
    }

    /**
     * Decides which actions follow from an event.
     *
     * @param state  the state as it was last written or read, not null
     * @param event  the event, not null
     * @param nowMillis  the present time in milliseconds since the Unix epoch
     * @return the actions, not null, may be empty: a single {@link SaveState} if the state changes, or the actions that
     *     the current state allows
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

    /** Undoes the latest cordoned steps of a pool; steps that already return their worker count towards the excess. */
    private void undoSteps(Change change, PoolName pool, int excess, long nowMillis) {
        int remaining = excess;
        List<PlanStep> undoable = new ArrayList<>();
        for (PlanStep step : change.state.plan().steps().toList()) {
            PlanStepState state = change.stateOf(step);
            if (!step.pool().equals(pool)) {
                continue;
            }
            if (state.phase().undoable()) {
                undoable.add(step);
            } else if (state.phase() == StepPhase.UNCORDON || state.phase() == StepPhase.RELEASE) {
                remaining--;
            }
        }
        for (int i = undoable.size() - 1; i >= 0 && remaining > 0; i--) {
            PlanStep step = undoable.get(i);
            change.put(step.number(), transitions.undo(change.stateOf(step), nowMillis));
            remaining--;
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
        boolean returnsLoan = step.kind() == StepKind.RETURN;
        if (returnsLoan && !isLoanMade(change, step)) {
            return state.withCause(StepCause.LOAN_NOT_MADE).withPhase(StepPhase.CANCELLED, nowMillis);
        }
        if (change.cancelled && !returnsLoan) {
            return state.withCause(StepCause.CANCELLED).withPhase(StepPhase.CANCELLED, nowMillis);
        }
        return transitions.start(step, state, nowMillis);
    }

    private static boolean isLoanMade(Change change, PlanStep returnStep) {
        Plan plan = change.state.plan();
        return plan.steps()
                .filter(step -> step.kind() == StepKind.LOAN && step.worker().equals(returnStep.worker()))
                .allMatch(step -> change.stateOf(step).phase() == StepPhase.DONE);
    }

    private static List<WaveAction> dueActions(WaveState state, WaveState previous) {
        List<WaveAction> actions = new ArrayList<>();
        state.plan().steps().forEach(step -> {
            PlanStepState present = state.state(step);
            boolean due = previous == null || !previous.state(step).equals(present);
            if (due && present.phase() != StepPhase.PENDING && !present.phase().ended()) {
                actions.add(StepAction.of(
                        step, present.phase(), present.attempt(), present.incarnation(), present.rackVersion()));
            }
        });
        if (state.ended()) {
            actions.add(EndPlan.of(state.plan().digest()));
        }
        return actions;
    }

    /**
     * The mutable states of the steps while an event is applied.
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

        private void update(int number, Function<PlanStep, PlanStepState> transition) {
            state.plan().step(number).ifPresent(step -> put(number, transition.apply(step)));
        }

        private boolean hasChanged() {
            return cancelled != state.cancelled() || !steps.equals(state.steps());
        }

        private WaveState toState() {
            return state.withSteps(steps, cancelled);
        }
    }
}
