package org.trefoilpost.decision.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.trefoilpost.model.configuration.Configuration;

class ConfigurationFollowerTest {
    private static final long NOW = 1_000_000;

    private final FakeStore store = new FakeStore();
    private final SimulatedEntry acceptingEntry = new SimulatedEntry();
    private final SimulatedEntry entry = new SimulatedEntry();

    private void accept(String change, Configuration configuration) {
        acceptingEntry.deliverToAcceptor(Configurations.change(change, configuration), store, NOW);
        acceptingEntry.pushed.forEach(
                update -> acceptingEntry.deliverToFollower(ConfigurationEvent.UpdateReceived.of(update), store, NOW));
    }

    private ConfigurationUpdate lastPushed() {
        return acceptingEntry.pushed.get(acceptingEntry.pushed.size() - 1);
    }

    private static ConfigurationEvent peerReport(long version, String change, OptionalLong asOf) {
        return ConfigurationEvent.PeerReported.of(version, ChangeId.of(change), asOf);
    }

    @Test
    void emptyStore_informsTheEntryThatThereIsNone() {
        assertFalse(entry.follower.isInitialized());
        entry.deliverToFollower(ConfigurationEvent.Tick.of(), store, NOW);
        assertTrue(entry.follower.isInitialized());
        assertTrue(entry.follower.inForce().isEmpty());
    }

    @Test
    void watchEvent_readsTheHeadAndTheChangedPartOnly() {
        accept("a", Configurations.pools(5, 1));
        entry.deliverToFollower(ConfigurationEvent.Tick.of(), store, NOW);
        accept(
                "b",
                Configurations.pools(5, 1).toBuilder()
                        .pool(Configurations.pool(3, 2))
                        .build());
        int callsBefore = store.callCount();
        entry.deliverToFollower(ConfigurationEvent.HeadChanged.of(store.headRevision()), store, NOW);
        entry.deliverToFollower(ConfigurationEvent.Tick.of(), store, NOW + ConfigurationFollower.RETRY_INTERVAL_MILLIS);
        assertEquals(2, store.callCount() - callsBefore);
        assertEquals(2, entry.version());
        assertEquals(acceptingEntry.configuration(), entry.configuration());
    }

    @Test
    void update_fromTheVersionInForce_needsNoCallAndDuplicatesDoNothing() {
        accept("a", Configurations.pools(5, 1));
        entry.deliverToFollower(ConfigurationEvent.Tick.of(), store, NOW);
        accept("b", Configurations.pools(4, 1));
        int callsBefore = store.callCount();
        entry.deliverToFollower(ConfigurationEvent.UpdateReceived.of(lastPushed()), store, NOW);
        entry.deliverToFollower(ConfigurationEvent.UpdateReceived.of(lastPushed()), store, NOW);
        entry.deliverToFollower(ConfigurationEvent.HeadChanged.of(store.headRevision()), store, NOW);
        entry.tick(NOW + ConfigurationFollower.PUSH_GRACE_MILLIS);
        assertEquals(callsBefore, store.callCount() + entry.calls.size());
        assertEquals(2, entry.published.size());
        assertEquals(4, entry.configuration().pools().size());
    }

    @Test
    void restoredStore_isRefusedRaisedOnceAndNotConfirmed() {
        accept("a", Configurations.pools(2, 1));
        FakeStore backup = new FakeStore(store);
        accept("b", Configurations.pools(2, 2));
        entry.deliverToFollower(ConfigurationEvent.Tick.of(), store, NOW);
        store.restore(backup);
        for (long age = 0; age <= ConfigurationFollower.STALE_AFTER_MILLIS; age += 1_000) {
            entry.deliverToFollower(ConfigurationEvent.HeadUnchanged.of(store.revision(), NOW + age), store, NOW + age);
        }
        assertEquals(2, entry.version());
        assertEquals(List.of(ConfigurationAlarm.STORE_BEHIND), entry.alarms);
        assertTrue(entry.follower.isStale(NOW + ConfigurationFollower.STALE_AFTER_MILLIS));
    }

    @Test
    void sameVersionByAnotherChange_isRaisedAndNotPutInForce() {
        accept("a", Configurations.pools(2, 1));
        entry.deliverToFollower(ConfigurationEvent.Tick.of(), store, NOW);
        entry.deliverToFollower(peerReport(1, "z", OptionalLong.of(NOW)), store, NOW);
        assertEquals(List.of(ConfigurationAlarm.DIVERGED), entry.alarms);
        assertEquals(1, entry.published.size());
    }

    @Test
    void confirmation_comesFromWatchReadAndPeers_andAgesWithoutThem() {
        accept("a", Configurations.pools(2, 1));
        assertTrue(entry.follower.isStale(NOW));
        entry.deliverToFollower(ConfigurationEvent.Tick.of(), store, NOW);
        assertEquals(OptionalLong.of(0), entry.follower.confirmationAgeMillis(NOW));
        entry.deliverToFollower(ConfigurationEvent.HeadUnchanged.of(store.revision(), NOW + 100), store, NOW + 150);
        assertEquals(OptionalLong.of(50), entry.follower.confirmationAgeMillis(NOW + 150));
        entry.deliverToFollower(peerReport(1, "a", OptionalLong.of(NOW + 120)), store, NOW + 150);
        assertEquals(OptionalLong.of(30), entry.follower.confirmationAgeMillis(NOW + 150));
        assertTrue(entry.follower.isStale(NOW + 120 + ConfigurationFollower.STALE_AFTER_MILLIS));
        assertFalse(entry.follower.isStale(NOW + 119 + ConfigurationFollower.STALE_AFTER_MILLIS));
    }

    @Test
    void peerAhead_noConfirmationCountsUntilCaughtUp() {
        accept("a", Configurations.pools(2, 1));
        entry.deliverToFollower(ConfigurationEvent.Tick.of(), store, NOW);
        entry.deliverToFollower(peerReport(2, "b", OptionalLong.of(NOW + 90)), store, NOW + 100);
        entry.deliverToFollower(ConfigurationEvent.HeadUnchanged.of(store.revision(), NOW + 100), store, NOW + 100);
        assertEquals(OptionalLong.of(100), entry.follower.confirmationAgeMillis(NOW + 100));
    }

    @Test
    void storeDown_newEntryGetsTheConfigurationFromAPeer() {
        accept("a", Configurations.pools(2, 1));
        entry.tick(NOW);
        SimulatedEntry.Call read = entry.calls.remove(entry.calls.size() - 1);
        entry.deliver(new SimulatedEntry.Delivery(false, peerReport(1, "a", OptionalLong.empty())), NOW);
        entry.deliver(new SimulatedEntry.Delivery(false, StoreResult.CallFailed.of(read.callId())), NOW);
        assertEquals(1, entry.minVersionRequestedFromPeers);
        ConfigurationUpdate whole =
                acceptingEntry.follower.inForce().orElseThrow().toUpdate();
        entry.deliver(new SimulatedEntry.Delivery(false, ConfigurationEvent.UpdateReceived.of(whole)), NOW);
        assertEquals(acceptingEntry.configuration(), entry.configuration());
        assertTrue(entry.follower.isInitialized());
        assertTrue(entry.follower.isStale(NOW));
    }

    @Test
    void partOfANewerFormat_isRaisedAndTheVersionInForceStays() {
        accept("a", Configurations.pools(1, 1));
        entry.deliverToFollower(ConfigurationEvent.Tick.of(), store, NOW);
        accept("b", Configurations.pools(1, 2));
        store.head().parts().forEach((part, version) -> {
            if (version.number() == 2) {
                store.put(ConfigurationKeys.part(part, version), "{\"format\":2,\"settings\":{}}");
            }
        });
        entry.deliverToFollower(ConfigurationEvent.HeadChanged.of(store.headRevision()), store, NOW);
        entry.deliverToFollower(ConfigurationEvent.Tick.of(), store, NOW + ConfigurationFollower.RETRY_INTERVAL_MILLIS);
        entry.deliverToFollower(
                ConfigurationEvent.Tick.of(), store, NOW + 2 * ConfigurationFollower.POLL_INTERVAL_MILLIS);
        assertEquals(1, entry.version());
        assertEquals(List.of(ConfigurationAlarm.NEWER_FORMAT), entry.alarms);
    }
}
