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
public final class WaveStepper {
    private final StepRules rules;

    private WaveStepper(WaveLimits limits) {
        this.rules = new StepRules(limits);
    }

    /**
     * Obtains a stepper.
     *
     * @param limits  how long the phases may take, not null
     * @return the stepper, not null
     */
    public static WaveStepper of(WaveLimits limits) {
        return new WaveStepper(Objects.requireNonNull(limits, "limits"));
    }

    /**
     * Decides what to do on an event.
     *
     * @param state  the state as it was last written or read, not null
     * @param event  the event, not null
     * @param nowMillis  the present time in milliseconds since the Unix epoch
     * @return the actions, not null; either one {@link SaveState} or acts that the present state allows
     */
    public List<WaveAction> step(WaveState state, WaveEvent event, long nowMillis) {
        if (event instanceof WaveSaved saved) {
            return acts(state, saved.previous());
        }
        Change change = new Change(state);
        apply(change, event, nowMillis);
        start(change, nowMillis);
        if (change.made()) {
            WaveState next = change.next();
            return List.of(SaveState.of(next, WaveEvents.between(state, next, nowMillis)));
        }
        return event instanceof WaveTick || event instanceof WaveResumed ? acts(state, null) : List.of();
    }

    private void apply(Change change, WaveEvent event, long nowMillis) {
        if (event instanceof WaveTick) {
            change.state
                    .steps()
                    .keySet()
                    .forEach(number -> change.put(number, rules.expire(change.of(number), nowMillis)));
        } else if (event instanceof StepCompleted report) {
            change.update(report.step(), step -> rules.complete(step, change.of(step), report, nowMillis));
        } else if (event instanceof DrainReport report) {
            change.update(report.step(), step -> rules.drain(step, change.of(step), report, nowMillis));
        } else if (event instanceof BudgetExceeded exceeded) {
            undo(change, exceeded.pool(), exceeded.excess(), nowMillis);
        } else if (event instanceof CancelRequested && !change.state.cancelled() && !change.state.ended()) {
            change.cancelled = true;
            change.state
                    .plan()
                    .steps()
                    .forEach(step -> change.put(step.number(), rules.cancel(step, change.of(step), nowMillis)));
        }
    }

    private void undo(Change change, PoolName pool, int excess, long nowMillis) {
        int left = excess;
        List<PlanStep> undoable = new ArrayList<>();
        for (PlanStep step : change.state.plan().steps().toList()) {
            StepState state = change.of(step);
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
            change.put(step.number(), rules.undo(change.of(step), nowMillis));
            left--;
        }
    }

    private void start(Change change, long nowMillis) {
        for (PlanBatch batch : change.state.plan().batches()) {
            boolean ended = true;
            for (PlanStep step : batch.steps()) {
                if (change.of(step).phase() == StepPhase.PENDING) {
                    change.put(step.number(), begun(change, step, nowMillis));
                }
                ended &= change.of(step).phase().ended();
            }
            if (!ended) {
                return;
            }
        }
    }

    private StepState begun(Change change, PlanStep step, long nowMillis) {
        StepState state = change.of(step);
        boolean returns = step.kind() == StepKind.RETURN;
        if (returns && !loanMade(change, step)) {
            return state.withCause(StepCause.LOAN_NOT_MADE).withPhase(StepPhase.CANCELLED, nowMillis);
        }
        if (change.cancelled && !returns) {
            return state.withCause(StepCause.CANCELLED).withPhase(StepPhase.CANCELLED, nowMillis);
        }
        return rules.start(step, state, nowMillis);
    }

    private static boolean loanMade(Change change, PlanStep returning) {
        Plan plan = change.state.plan();
        return plan.steps()
                .filter(step -> step.kind() == StepKind.LOAN && step.worker().equals(returning.worker()))
                .allMatch(step -> change.of(step).phase() == StepPhase.DONE);
    }

    private static List<WaveAction> acts(WaveState state, WaveState previous) {
        List<WaveAction> acts = new ArrayList<>();
        state.plan().steps().forEach(step -> {
            StepState present = state.state(step);
            boolean due = previous == null || !previous.state(step).equals(present);
            if (due && present.phase() != StepPhase.PENDING && !present.phase().ended()) {
                acts.add(StepAct.of(
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
        private final SortedMap<Integer, StepState> steps;
        private boolean cancelled;

        private Change(WaveState state) {
            this.state = state;
            this.steps = new TreeMap<>(state.steps());
            this.cancelled = state.cancelled();
        }

        private StepState of(PlanStep step) {
            return steps.get(step.number());
        }

        private StepState of(int number) {
            return steps.get(number);
        }

        private void put(int number, StepState newState) {
            steps.put(number, newState);
        }

        private void update(int number, Function<PlanStep, StepState> rule) {
            state.plan().step(number).ifPresent(step -> put(number, rule.apply(step)));
        }

        private boolean made() {
            return cancelled != state.cancelled() || !steps.equals(state.steps());
        }

        private WaveState next() {
            return state.withSteps(steps, cancelled);
        }
    }
}
