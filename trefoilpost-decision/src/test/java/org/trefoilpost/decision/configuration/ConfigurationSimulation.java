package org.trefoilpost.decision.configuration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.capacity.AvailabilityBudget;
import org.trefoilpost.model.capacity.FailureDomain;
import org.trefoilpost.model.configuration.Configuration;
import org.trefoilpost.model.configuration.PoolSettings;

/**
 * Entries, their peers' messages and the store, run in one seeded random order with faults of every kind.
 */
final class ConfigurationSimulation {
    private static final int SETTLING_ROUNDS = 500;
    private static final long ROUND_MILLIS = 300;

    final List<SimulatedEntry> entries = new ArrayList<>();
    final Map<ChangeId, Configuration> requestedConfigurations = new LinkedHashMap<>();
    final Map<ChangeId, Long> expectedVersions = new LinkedHashMap<>();
    final FakeStore store = new FakeStore();
    private final List<ConfigurationAction> delayedWrites = new ArrayList<>();
    private final Random random;
    private FakeStore backup = new FakeStore();
    private long nowMillis = 1_000_000;

    ConfigurationSimulation(long seed, int entryCount) {
        random = new Random(seed);
        for (int index = 0; index < entryCount; index++) {
            entries.add(new SimulatedEntry());
        }
    }

    void run(int steps, boolean withRestores) {
        for (int step = 0; step < steps; step++) {
            int choice = random.nextInt(100);
            if (choice < 35) {
                handleCall(pickRandom(entries));
            } else if (choice < 65) {
                deliverOne(pickRandom(entries));
            } else if (choice < 77) {
                nowMillis += random.nextInt(400);
                entries.stream().filter(entry -> !entry.isPaused).forEach(entry -> entry.tick(nowMillis));
            } else if (choice < 84) {
                heartbeat(pickRandom(entries), pickRandom(entries));
            } else if (choice < 90) {
                watch(pickRandom(entries));
            } else if (choice < 95) {
                request(pickRandom(entries), random.nextBoolean());
            } else if (choice < 97) {
                SimulatedEntry entry = pickRandom(entries);
                entry.isPaused = !entry.isPaused;
            } else if (choice < 99) {
                applyDelayedWrite();
            } else {
                backUpOrRestore(withRestores);
            }
        }
    }

    /** Ends all faults and runs until every timeout and cleanup is over. */
    void settle() {
        while (!delayedWrites.isEmpty()) {
            applyDelayedWrite();
        }
        entries.forEach(entry -> entry.isPaused = false);
        for (int round = 0; round < SETTLING_ROUNDS; round++) {
            nowMillis += ROUND_MILLIS;
            for (SimulatedEntry entry : entries) {
                entry.tick(nowMillis);
                while (!entry.calls.isEmpty() || !entry.inbox.isEmpty()) {
                    drain(entry);
                }
                heartbeat(entry, pickRandom(entries));
                watch(entry);
                sendUpdates(entry, 100);
            }
        }
    }

    ChangeId request(SimulatedEntry entry, boolean withExpected) {
        ChangeId change = ChangeId.of("c" + requestedConfigurations.size());
        Configuration configuration = randomConfiguration();
        long version = Math.max(0, entry.version() - random.nextInt(2));
        requestedConfigurations.put(change, configuration);
        OptionalLong expectedVersion = withExpected ? OptionalLong.of(version) : OptionalLong.empty();
        expectedVersion.ifPresent(value -> expectedVersions.put(change, value));
        entry.inbox.add(new SimulatedEntry.Delivery(
                true, ConfigurationEvent.ChangeRequested.of(change, configuration, expectedVersion)));
        return change;
    }

    private Configuration randomConfiguration() {
        Configuration.Builder builder = Configuration.builder();
        for (String name : List.of("clearance", "matching", "pricing", "dock-desk")) {
            if (random.nextInt(4) > 0) {
                AvailabilityBudget budget = AvailabilityBudget.of(random.nextInt(3), FailureDomain.RACK);
                builder.pool(
                        PoolSettings.builder(PoolName.of(name)).budget(budget).build());
            }
        }
        return builder.build();
    }

    private void handleCall(SimulatedEntry entry) {
        if (entry.calls.isEmpty()) {
            return;
        }
        SimulatedEntry.Call call = entry.calls.remove(random.nextInt(entry.calls.size()));
        int choice = random.nextInt(10);
        if (choice < 7) {
            call.answer(store.apply(call.action));
            return;
        }
        if (choice == 7) {
            store.apply(call.action);
        } else if (choice == 8 && call.action instanceof ConfigurationAction.WriteKey) {
            delayedWrites.add(call.action);
        }
        call.answer(StoreResult.CallFailed.of(call.callId()));
    }

    private void deliverOne(SimulatedEntry entry) {
        if (entry.isPaused || entry.inbox.isEmpty()) {
            return;
        }
        SimulatedEntry.Delivery delivery = entry.inbox.remove(random.nextInt(entry.inbox.size()));
        boolean isFromPeer = delivery.event instanceof ConfigurationEvent.UpdateReceived
                || delivery.event instanceof ConfigurationEvent.PeerReported;
        if (isFromPeer && random.nextInt(4) == 0) {
            entry.inbox.add(delivery);
        }
        entry.deliver(delivery, nowMillis);
        sendUpdates(entry, 70);
    }

    private void drain(SimulatedEntry entry) {
        List<SimulatedEntry.Call> calls = new ArrayList<>(entry.calls);
        entry.calls.clear();
        calls.forEach(call -> call.answer(store.apply(call.action)));
        List<SimulatedEntry.Delivery> inbox = new ArrayList<>(entry.inbox);
        entry.inbox.clear();
        inbox.forEach(delivery -> entry.deliver(delivery, nowMillis));
        sendUpdates(entry, 100);
    }

    private void sendUpdates(SimulatedEntry from, int percent) {
        for (ConfigurationUpdate update : from.pushed) {
            entries.stream()
                    .filter(peer -> peer == from || random.nextInt(100) < percent)
                    .forEach(peer -> receive(peer, update));
        }
        from.pushed.clear();
        SimulatedEntry helper = pickRandom(entries);
        if (from.minVersionRequestedFromPeers > 0 && helper.version() >= from.minVersionRequestedFromPeers) {
            receive(from, helper.follower.inForce().orElseThrow().toUpdate());
        }
        from.minVersionRequestedFromPeers = 0;
    }

    private static void receive(SimulatedEntry peer, ConfigurationUpdate update) {
        ConfigurationUpdate copy =
                ConfigurationDocumentCodec.readUpdate(ConfigurationDocumentCodec.writeUpdate(update));
        peer.inbox.add(new SimulatedEntry.Delivery(false, ConfigurationEvent.UpdateReceived.of(copy)));
    }

    private void heartbeat(SimulatedEntry from, SimulatedEntry to) {
        Optional<ConfigurationSnapshot> inForce = from.follower.inForce();
        if (inForce.isEmpty() || from == to) {
            return;
        }
        OptionalLong age = from.follower.confirmationAgeMillis(nowMillis);
        OptionalLong asOf = age.isPresent() ? OptionalLong.of(nowMillis - age.getAsLong()) : age;
        ChangeVersion version = inForce.get().version();
        to.inbox.add(new SimulatedEntry.Delivery(
                false, ConfigurationEvent.PeerReported.of(version.number(), version.change(), asOf)));
    }

    private void watch(SimulatedEntry entry) {
        long known = entry.follower.inForce().map(s -> s.version().revision()).orElse(0L);
        ConfigurationEvent event = known == store.headRevision()
                ? ConfigurationEvent.HeadUnchanged.of(store.revision(), nowMillis)
                : ConfigurationEvent.HeadChanged.of(store.headRevision());
        entry.inbox.add(new SimulatedEntry.Delivery(false, event));
    }

    private void applyDelayedWrite() {
        if (!delayedWrites.isEmpty()) {
            store.apply(delayedWrites.remove(random.nextInt(delayedWrites.size())));
        }
    }

    private void backUpOrRestore(boolean withRestores) {
        if (withRestores && random.nextInt(3) == 0) {
            store.restore(backup);
            delayedWrites.clear();
            entries.forEach(ConfigurationSimulation::failCalls);
        } else {
            backup = new FakeStore(store);
        }
    }

    private static void failCalls(SimulatedEntry entry) {
        entry.calls.forEach(call -> call.answer(StoreResult.CallFailed.of(call.callId())));
        entry.calls.clear();
    }

    private <T> T pickRandom(List<T> list) {
        return list.get(random.nextInt(list.size()));
    }
}
