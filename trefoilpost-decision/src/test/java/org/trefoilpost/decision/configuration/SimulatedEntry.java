package org.trefoilpost.decision.configuration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.trefoilpost.model.configuration.Configuration;

/**
 * One entry with its acceptor and follower, and a record of what came into force and what operators were told.
 */
final class SimulatedEntry {
    /** An event on its way to the acceptor or to the follower. */
    static final class Delivery {
        final boolean toAcceptor;
        final ConfigurationEvent event;

        Delivery(boolean toAcceptor, ConfigurationEvent event) {
            this.toAcceptor = toAcceptor;
            this.event = event;
        }
    }

    /** A call to the store on its way. */
    static final class Call {
        final SimulatedEntry entry;
        final boolean fromAcceptor;
        final ConfigurationAction action;

        Call(SimulatedEntry entry, boolean fromAcceptor, ConfigurationAction action) {
            this.entry = entry;
            this.fromAcceptor = fromAcceptor;
            this.action = action;
        }

        void answer(StoreResult result) {
            entry.inbox.add(new Delivery(fromAcceptor, result));
        }

        long callId() {
            if (action instanceof ConfigurationAction.ReadKey read) {
                return read.callId();
            }
            return action instanceof ConfigurationAction.WriteKey write ? write.callId() : -2;
        }
    }

    private static final int MAX_ROUNDS = 100;

    final ConfigurationFollower follower = new ConfigurationFollower();
    final ConfigurationAcceptor acceptor = new ConfigurationAcceptor(follower);
    final List<Delivery> inbox = new ArrayList<>();
    final List<Call> calls = new ArrayList<>();
    final List<ConfigurationSnapshot> published = new ArrayList<>();
    final List<ConfigurationAlarm> alarms = new ArrayList<>();
    final List<ConfigurationUpdate> pushed = new ArrayList<>();
    final Map<ChangeId, List<ChangeOutcome>> outcomes = new LinkedHashMap<>();
    long minVersionRequestedFromPeers;
    boolean isPaused;

    ChangeOutcome lastOutcome(ChangeId change) {
        List<ChangeOutcome> told = outcomes.get(change);
        return told.get(told.size() - 1);
    }

    Configuration configuration() {
        return follower.inForce().orElseThrow().configuration();
    }

    long version() {
        return follower.inForce().map(snapshot -> snapshot.version().number()).orElse(0L);
    }

    void deliver(Delivery delivery, long nowMillis) {
        if (delivery.toAcceptor) {
            perform(true, acceptor.step(delivery.event, nowMillis));
        } else {
            perform(false, follower.step(delivery.event, nowMillis));
        }
    }

    /** Handles an event of the acceptor and answers all calls at once. */
    void deliverToAcceptor(ConfigurationEvent event, FakeStore store, long nowMillis) {
        inbox.add(new Delivery(true, event));
        answerCalls(store, nowMillis);
    }

    /** Handles an event of the follower and answers all calls at once. */
    void deliverToFollower(ConfigurationEvent event, FakeStore store, long nowMillis) {
        inbox.add(new Delivery(false, event));
        answerCalls(store, nowMillis);
    }

    void answerCalls(FakeStore store, long nowMillis) {
        int rounds = 0;
        while (!calls.isEmpty() || !inbox.isEmpty()) {
            if (++rounds > MAX_ROUNDS) {
                throw new AssertionError("calls the store again and again without a delay");
            }
            List<Call> present = new ArrayList<>(calls);
            calls.clear();
            present.forEach(call -> call.answer(store.apply(call.action)));
            List<Delivery> deliveries = new ArrayList<>(inbox);
            inbox.clear();
            deliveries.forEach(delivery -> deliver(delivery, nowMillis));
        }
    }

    void tick(long nowMillis) {
        perform(true, acceptor.step(ConfigurationEvent.Tick.of(), nowMillis));
        perform(false, follower.step(ConfigurationEvent.Tick.of(), nowMillis));
    }

    private void perform(boolean fromAcceptor, List<ConfigurationAction> actions) {
        for (ConfigurationAction action : actions) {
            if (action instanceof ConfigurationAction.Publish publish) {
                published.add(publish.snapshot());
            } else if (action instanceof ConfigurationAction.RaiseAlarm raise) {
                alarms.add(raise.alarm());
            } else if (action instanceof ConfigurationAction.PushToPeers push) {
                pushed.add(push.update());
            } else if (action instanceof ConfigurationAction.RequestFromPeers request) {
                minVersionRequestedFromPeers = request.minVersion();
            } else if (action instanceof ConfigurationAction.AnswerOperator answer) {
                outcomes.computeIfAbsent(answer.change(), id -> new ArrayList<>())
                        .add(answer.outcome());
            } else {
                calls.add(new Call(this, fromAcceptor, action));
            }
        }
    }
}
