package org.trefoilpost.entry.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.trefoilpost.decision.event.FleetEvent;
import org.trefoilpost.decision.plan.PlanDigest;
import org.trefoilpost.decision.wave.EndPlan;
import org.trefoilpost.decision.wave.SaveState;
import org.trefoilpost.decision.wave.StepAction;
import org.trefoilpost.decision.wave.WaveAction;
import org.trefoilpost.decision.wave.WaveEvent;
import org.trefoilpost.decision.wave.WaveSaved;
import org.trefoilpost.decision.wave.WaveState;
import org.trefoilpost.decision.wave.WaveStateCodec;
import org.trefoilpost.decision.wave.WaveStateMachine;
import org.trefoilpost.entry.log.EventLog;
import org.trefoilpost.entry.log.LogEvent;
import org.trefoilpost.entry.platform.WriteOutcome;

/**
 * The execution of one confirmed plan by this entry. The duty's thread owns it.
 *
 * <p>A run whose write of the plan's document found another revision ends: another entry executes the plan.
 */
final class PlanExecution {
    private static final EventLog LOG = EventLog.of(PlanExecution.class);

    private final FleetContext context;
    private final WaveStateMachine stateMachine;
    private final StepExecutor stepExecutor;
    private final Callbacks callbacks;
    private final long startedMillis;
    private final Set<String> actionsInFlight = new HashSet<>();
    private final Deque<WaveEvent> queuedEvents = new ArrayDeque<>();
    private Versioned<WaveState> current;
    private boolean saveInFlight;
    private boolean ended;

    PlanExecution(
            FleetContext context,
            WaveStateMachine stepper,
            StepExecutor acts,
            Callbacks host,
            Versioned<WaveState> present,
            long beganMillis) {
        this.context = context;
        this.stateMachine = stepper;
        this.stepExecutor = acts;
        this.callbacks = host;
        this.current = present;
        this.startedMillis = beganMillis;
    }

    /**
     * Returns whether this entry no longer executes the plan.
     *
     * @return true if the run is over
     */
    boolean isEnded() {
        return ended;
    }

    /**
     * Returns when this entry took the plan up.
     *
     * @return the time in milliseconds since 1970
     */
    long startedMillis() {
        return startedMillis;
    }

    /**
     * Returns the plan's digest.
     *
     * @return the digest, not null
     */
    PlanDigest digest() {
        return current.document().plan().digest();
    }

    /**
     * Takes in an event.
     *
     * @param event  the event, not null
     * @param nowMillis  the present time in milliseconds since 1970
     */
    void handle(WaveEvent event, long nowMillis) {
        if (ended) {
            return;
        }
        if (saveInFlight) {
            queuedEvents.add(event);
            return;
        }
        perform(stateMachine.handle(current.document(), event, nowMillis), nowMillis);
    }

    private void perform(List<WaveAction> actions, long nowMillis) {
        for (WaveAction action : actions) {
            if (action instanceof SaveState save) {
                save(save.state(), save.events());
            } else if (action instanceof StepAction act) {
                startAction(act, nowMillis);
            } else if (action instanceof EndPlan) {
                ended = true;
                callbacks.planEnded(current.document());
            }
        }
    }

    private void save(WaveState next, List<FleetEvent> events) {
        saveInFlight = true;
        context.store()
                .write(FleetKeys.plan(digest()), current.revision(), WaveStateCodec.encode(next), Optional.empty())
                .whenComplete((outcome, failure) ->
                        callbacks.post(now -> saved(next, events, Optional.ofNullable(outcome), now)));
    }

    private void saved(WaveState next, List<FleetEvent> events, Optional<WriteOutcome> outcome, long nowMillis) {
        saveInFlight = false;
        if (outcome.isEmpty() || !outcome.get().isWritten()) {
            ended = true;
            context.metrics().count("trefoilpost.plan.writes.lost", outcome.isEmpty() ? "no-answer" : "conflict");
            callbacks.reload(FleetKeys.plan(digest()));
            return;
        }
        WaveState previous = current.document();
        current = Versioned.of(next, outcome.get().revision());
        callbacks.planSaved(current, events);
        perform(stateMachine.handle(next, WaveSaved.of(previous), nowMillis), nowMillis);
        while (!queuedEvents.isEmpty() && !saveInFlight) {
            handle(queuedEvents.poll(), nowMillis);
        }
    }

    private void startAction(StepAction act, long nowMillis) {
        String key = act.step().number() + "/" + act.attempt() + "/" + act.phase();
        if (!actionsInFlight.add(key)) {
            return;
        }
        stepExecutor
                .execute(current.document(), act, nowMillis)
                .whenComplete((event, failure) -> callbacks.post(now -> actionCompleted(key, event, failure, now)));
    }

    private void actionCompleted(String key, Optional<WaveEvent> event, Throwable failure, long nowMillis) {
        actionsInFlight.remove(key);
        if (failure != null) {
            context.metrics().count("trefoilpost.plan.acts.failed", key.substring(key.lastIndexOf('/') + 1));
            LOG.info(LogEvent.of("plan-act-failed")
                    .with("plan", digest().text())
                    .with("act", key)
                    .withFailure(failure));
        } else {
            event.ifPresent(next -> handle(next, nowMillis));
        }
    }

    /**
     * What a run needs of the duty that hosts it.
     */
    interface Callbacks {
        /**
         * Runs something on the duty's thread.
         *
         * @param event  what to run, given the present time, not null
         */
        void post(Consumer<Long> event);

        /**
         * Is told of a plan's state that was written.
         *
         * @param state  the state, not null
         * @param events  the events that the change brings, not null
         */
        void planSaved(Versioned<WaveState> state, List<FleetEvent> events);

        /**
         * Is told that all steps of a plan have ended.
         *
         * @param state  the plan's last state, not null
         */
        void planEnded(WaveState state);

        /**
         * Is to read a key anew.
         *
         * @param key  the key, not null
         */
        void reload(String key);
    }
}
