package org.trefoilpost.decision.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class ConfigurationAcceptorTest {
    private static final long NOW = 1_000_000;
    private static final ChangeId A = ChangeId.of("a");
    private static final ChangeId B = ChangeId.of("b");

    private final FakeStore store = new FakeStore();
    private final SimulatedEntry entry = new SimulatedEntry();
    private final SimulatedEntry other = new SimulatedEntry();

    /** Answers every call but the compare-and-swap of the head, which is returned. */
    private SimulatedEntry.Call runUntilHeadWrite(SimulatedEntry at, ConfigurationEvent request) {
        at.inbox.add(new SimulatedEntry.Delivery(true, request));
        while (true) {
            at.inbox.forEach(delivery -> at.deliver(delivery, NOW));
            at.inbox.clear();
            SimulatedEntry.Call call = at.calls.remove(0);
            boolean isHeadWrite = call.action instanceof ConfigurationAction.WriteKey write
                    && write.key().equals(ConfigurationKeys.HEAD);
            if (isHeadWrite) {
                return call;
            }
            call.answer(store.apply(call.action));
        }
    }

    private void loseAnswer(SimulatedEntry.Call call) {
        call.answer(StoreResult.CallFailed.of(call.callId()));
        entry.answerCalls(store, NOW);
        entry.tick(NOW + ConfigurationAcceptor.RETRY_INTERVAL_MILLIS);
    }

    @Test
    void lostAnswer_writeTookEffect_isFoundAccepted() {
        SimulatedEntry.Call cas = runUntilHeadWrite(entry, Configurations.change("a", Configurations.pools(2, 1)));
        store.apply(cas.action);
        loseAnswer(cas);
        entry.answerCalls(store, NOW);
        assertEquals("ACCEPTED 1", entry.lastOutcome(A).toString());
        assertEquals(1, entry.pushed.size());
    }

    @Test
    void lostAnswer_writeStillInFlight_isRepeatedAndAppliedOnce() {
        SimulatedEntry.Call cas = runUntilHeadWrite(entry, Configurations.change("a", Configurations.pools(2, 1)));
        loseAnswer(cas);
        entry.answerCalls(store, NOW);
        assertEquals("ACCEPTED 1", entry.lastOutcome(A).toString());
        assertTrue(store.apply(cas.action) instanceof StoreResult.WriteConflict);
    }

    @Test
    void lostAnswer_laterChangesOnTop_isStillFoundAccepted() {
        SimulatedEntry.Call cas = runUntilHeadWrite(entry, Configurations.change("a", Configurations.pools(2, 1)));
        store.apply(cas.action);
        other.deliverToAcceptor(Configurations.change("b", Configurations.pools(2, 2)), store, NOW);
        loseAnswer(cas);
        entry.answerCalls(store, NOW);
        assertEquals("ACCEPTED 1", entry.lastOutcome(A).toString());
        assertEquals("ACCEPTED 2", other.lastOutcome(B).toString());
    }

    @Test
    void lostAnswer_moreChangesOnTopThanTheHeadRemembers_isUnknown() {
        SimulatedEntry.Call cas = runUntilHeadWrite(entry, Configurations.change("a", Configurations.pools(2, 1)));
        for (int index = 0; index <= ConfigurationHead.MAX_RECENT_CHANGES; index++) {
            other.deliverToAcceptor(Configurations.change("b" + index, Configurations.pools(2, 2 + index)), store, NOW);
        }
        loseAnswer(cas);
        entry.answerCalls(store, NOW);
        assertEquals("UNKNOWN 1", entry.lastOutcome(A).toString());
    }

    @Test
    void storeUnavailableAfterTheHeadWrite_isUnknownAtFirst_thenAccepted() {
        SimulatedEntry.Call cas = runUntilHeadWrite(entry, Configurations.change("a", Configurations.pools(2, 1)));
        loseAnswer(cas);
        entry.tick(NOW + ConfigurationAcceptor.ANSWER_TIMEOUT_MILLIS);
        assertEquals("UNKNOWN 1", entry.lastOutcome(A).toString());
        entry.answerCalls(new FakeStore(), NOW + ConfigurationAcceptor.ANSWER_TIMEOUT_MILLIS);
        assertEquals(0, store.headRevision());
        store.apply(cas.action);
        entry.tick(NOW + 2 * ConfigurationAcceptor.ANSWER_TIMEOUT_MILLIS);
        entry.answerCalls(store, NOW + 2 * ConfigurationAcceptor.ANSWER_TIMEOUT_MILLIS);
        assertEquals("ACCEPTED 1", entry.lastOutcome(A).toString());
    }

    @Test
    void storeUnavailableBeforeTheHeadWrite_isRefusedAndNeverApplied() {
        entry.inbox.add(new SimulatedEntry.Delivery(true, Configurations.change("a", Configurations.pools(1, 1))));
        entry.inbox.forEach(delivery -> entry.deliver(delivery, NOW));
        entry.inbox.clear();
        entry.tick(NOW + ConfigurationAcceptor.ANSWER_TIMEOUT_MILLIS);
        assertEquals("REFUSED 0 STORE_UNAVAILABLE", entry.lastOutcome(A).toString());
        entry.answerCalls(store, NOW + ConfigurationAcceptor.ANSWER_TIMEOUT_MILLIS);
        assertEquals(0, store.headRevision());
    }

    @Test
    void twoOperatorsOnTheSameExpectedVersion_oneWins_theOtherLearnsTheVersionInForce() {
        SimulatedEntry.Call first = runUntilHeadWrite(entry, Configurations.change("a", Configurations.pools(2, 1), 0));
        other.deliverToAcceptor(Configurations.change("b", Configurations.pools(2, 2), 0), store, NOW);
        first.answer(store.apply(first.action));
        entry.answerCalls(store, NOW);
        assertEquals("ACCEPTED 1", other.lastOutcome(B).toString());
        assertEquals("REFUSED 1 CONFLICT", entry.lastOutcome(A).toString());
        assertEquals(store.head().parts().size(), store.partCount());
    }

    @Test
    void twoOperatorsWithoutExpectedVersion_bothAreAcceptedInTurn() {
        SimulatedEntry.Call first = runUntilHeadWrite(entry, Configurations.change("a", Configurations.pools(2, 1)));
        other.deliverToAcceptor(Configurations.change("b", Configurations.pools(2, 2)), store, NOW);
        first.answer(store.apply(first.action));
        entry.answerCalls(store, NOW);
        assertEquals("ACCEPTED 2", entry.lastOutcome(A).toString());
        assertEquals(Optional.of(A), store.head().change());
    }

    @Test
    void newerHead_isLeftUntouched() {
        store.put(ConfigurationKeys.HEAD, "{\"format\":2}");
        entry.deliverToAcceptor(Configurations.change("a", Configurations.pools(1, 1)), store, NOW);
        assertEquals("REFUSED 0 NEWER_FORMAT", entry.lastOutcome(A).toString());
        assertEquals(1, store.headRevision());
        entry.deliverToFollower(ConfigurationEvent.Tick.of(), store, NOW);
        assertEquals(List.of(ConfigurationAlarm.NEWER_FORMAT), entry.alarms);
    }

    @Test
    void tooManyChanges_areRefusedAsBusy() {
        for (int index = 0; index <= ConfigurationAcceptor.MAX_PENDING_CHANGES; index++) {
            ConfigurationEvent request = Configurations.change("c" + index, Configurations.pools(1, index));
            entry.deliver(new SimulatedEntry.Delivery(true, request), NOW);
        }
        assertEquals("REFUSED 0 BUSY", entry.lastOutcome(ChangeId.of("c16")).toString());
    }

    @Test
    void replacedParts_areDeletedAfterADelay() {
        acceptTwoChanges();
        assertEquals(6, store.partCount());
        cleanUp();
        assertEquals(4, store.partCount());
        store.head()
                .parts()
                .forEach((part, version) -> assertTrue(store.containsKey(ConfigurationKeys.part(part, version))));
    }

    @Test
    void replacedParts_areKeptWhenARestoredHeadNamesThem() {
        entry.deliverToAcceptor(Configurations.change("a", Configurations.pools(2, 1)), store, NOW);
        FakeStore backup = new FakeStore(store);
        acceptTwoChanges();
        store.restore(backup);
        cleanUp();
        assertEquals(4, store.partCount());
    }

    private void cleanUp() {
        for (int delays = 1; delays <= 2; delays++) {
            long later = NOW + delays * ConfigurationAcceptor.CLEANUP_DELAY_MILLIS;
            entry.tick(later);
            entry.answerCalls(store, later);
        }
    }

    private void acceptTwoChanges() {
        entry.deliverToAcceptor(Configurations.change("a", Configurations.pools(2, 1)), store, NOW);
        entry.deliverToFollower(ConfigurationEvent.Tick.of(), store, NOW);
        entry.deliverToAcceptor(Configurations.change("b", Configurations.pools(2, 2)), store, NOW);
    }
}
