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
final class PlanRun {
    private static final EventLog LOG = EventLog.of(PlanRun.class);

    private final FleetContext context;
    private final WaveStateMachine stepper;
    private final StepActs acts;
    private final Host host;
    private final long beganMillis;
    private final Set<String> actsUnderWay = new HashSet<>();
    private final Deque<WaveEvent> waiting = new ArrayDeque<>();
    private Versioned<WaveState> present;
    private boolean saving;
    private boolean ended;

    PlanRun(
            FleetContext context,
            WaveStateMachine stepper,
            StepActs acts,
            Host host,
            Versioned<WaveState> present,
            long beganMillis) {
        this.context = context;
        this.stepper = stepper;
        this.acts = acts;
        this.host = host;
        this.present = present;
        this.beganMillis = beganMillis;
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
    long beganMillis() {
        return beganMillis;
    }

    /**
     * Returns the plan's digest.
     *
     * @return the digest, not null
     */
    PlanDigest digest() {
        return present.document().plan().digest();
    }

    /**
     * Takes in an event.
     *
     * @param event  the event, not null
     * @param nowMillis  the present time in milliseconds since 1970
     */
    void apply(WaveEvent event, long nowMillis) {
        if (ended) {
            return;
        }
        if (saving) {
            waiting.add(event);
            return;
        }
        run(stepper.handle(present.document(), event, nowMillis), nowMillis);
    }

    private void run(List<WaveAction> actions, long nowMillis) {
        for (WaveAction action : actions) {
            if (action instanceof SaveState save) {
                save(save.state(), save.events());
            } else if (action instanceof StepAction act) {
                act(act, nowMillis);
            } else if (action instanceof EndPlan) {
                ended = true;
                host.planEnded(present.document());
            }
        }
    }

    private void save(WaveState next, List<FleetEvent> events) {
        saving = true;
        context.store()
                .write(FleetKeys.plan(digest()), present.revision(), WaveStateCodec.encode(next), Optional.empty())
                .whenComplete(
                        (outcome, failure) -> host.post(now -> saved(next, events, Optional.ofNullable(outcome), now)));
    }

    private void saved(WaveState next, List<FleetEvent> events, Optional<WriteOutcome> outcome, long nowMillis) {
        saving = false;
        if (outcome.isEmpty() || !outcome.get().isWritten()) {
            ended = true;
            context.metrics().count("trefoilpost.plan.writes.lost", outcome.isEmpty() ? "no-answer" : "conflict");
            host.reload(FleetKeys.plan(digest()));
            return;
        }
        WaveState previous = present.document();
        present = Versioned.of(next, outcome.get().revision());
        host.planSaved(present, events);
        run(stepper.handle(next, WaveSaved.of(previous), nowMillis), nowMillis);
        while (!waiting.isEmpty() && !saving) {
            apply(waiting.poll(), nowMillis);
        }
    }

    private void act(StepAction act, long nowMillis) {
        String key = act.step().number() + "/" + act.attempt() + "/" + act.phase();
        if (!actsUnderWay.add(key)) {
            return;
        }
        acts.run(present.document(), act, nowMillis)
                .whenComplete((event, failure) -> host.post(now -> acted(key, event, failure, now)));
    }

    private void acted(String key, Optional<WaveEvent> event, Throwable failure, long nowMillis) {
        actsUnderWay.remove(key);
        if (failure != null) {
            context.metrics().count("trefoilpost.plan.acts.failed", key.substring(key.lastIndexOf('/') + 1));
            LOG.info(LogEvent.of("plan-act-failed")
                    .with("plan", digest().text())
                    .with("act", key)
                    .withFailure(failure));
        } else {
            event.ifPresent(next -> apply(next, nowMillis));
        }
    }

    /**
     * What a run needs of the duty that hosts it.
     */
    interface Host {
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
