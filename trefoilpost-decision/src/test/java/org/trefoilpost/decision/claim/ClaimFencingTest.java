package org.trefoilpost.decision.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.trefoilpost.model.EntryId;

class ClaimFencingTest {
    private static final String UNAVAILABLE = "not-run(claim-unavailable)";
    private static final String CLAIMED_EARLIER = "may-have-run(claimed-earlier)";

    private final FakeStore store = new FakeStore();
    private final ShardHarness first = ShardHarness.owner(store, "first", 1);

    private ShardHarness second() {
        return ShardHarness.owner(store, "second", 2);
    }

    @Test
    void ownerPausedAfterItsWriteMaySendWithinTheDeadlineOnly() {
        first.request("a", 1, 500).request("b", 2, 100).answerAll();
        first.request("c", 3, 500).request("d", 4, 100);
        StoreReply late = store.apply(first.takeCall());
        ShardHarness second = second().request("c2", 3, 500).request("d2", 4, 500);
        first.advance(200).send(late);
        assertTrue(first.dispatched("c"));
        assertEquals(
                ShardHarness.START_MILLIS + 500,
                first.actionsOf(Dispatch.class).get(2).sendBeforeMillis());
        assertEquals(UNAVAILABLE, first.verdict("d"));
        assertFalse(first.dispatched("d"));
        assertEquals(CLAIMED_EARLIER, second.verdict("c2"));
        assertFalse(second.dispatched("c2") || second.answerAll().dispatched("c2"));
    }

    @Test
    void sealBeforeTheWriteFencesTheOwner() {
        first.request("a", 1, 500);
        ShardHarness second = second().request("a2", 1, 500).answerAll();
        assertTrue(second.dispatched("a2"));
        first.answerAll();
        assertFalse(first.dispatched("a"));
        assertEquals(UNAVAILABLE, first.verdict("a"));
        OwnershipLost lost = first.actionsOf(OwnershipLost.class).get(0);
        assertEquals(Optional.of(EntryId.of("second")), lost.successor());
        assertFalse(first.shard().isOwner());
    }

    @Test
    void onlyOneOfTwoConcurrentTakeOversSucceeds() {
        ShardHarness second =
                new ShardHarness(store, "second", 2, ShardHarness.settings().build());
        ShardHarness third =
                new ShardHarness(store, "third", 3, ShardHarness.settings().build());
        second.send(TakeOverRequested.of()).answerNext();
        third.send(TakeOverRequested.of()).answerNext();
        third.answerAll();
        second.answerAll();
        assertTrue(third.shard().isOwner());
        assertFalse(second.shard().isOwner());
        assertEquals(
                Optional.of(EntryId.of("third")),
                second.actionsOf(OwnershipLost.class).get(0).successor());
    }

    @Test
    void lostAnswerToTheSealIsResolved() {
        first.runToAnswer("a", 1);
        ShardHarness second =
                new ShardHarness(store, "second", 2, ShardHarness.settings().build());
        second.send(TakeOverRequested.of()).answerNext();
        store.apply(second.loseCall());
        second.retry();
        assertEquals(2, second.actionsOf(OwnershipGained.class).get(0).epoch());
        assertEquals(CLAIMED_EARLIER, second.request("a2", 1, 500).verdict("a2"));
    }

    @Test
    void delayedWriteCannotTakeEffectAfterItsRetry() {
        first.request("a", 1, 5_000);
        StoreCall delayed = first.loseCall();
        first.retry();
        assertTrue(first.dispatched("a"));
        assertInstanceOf(StoreConflicted.class, store.apply(delayed));
        first.runToAnswer("b", 2);
        assertEquals(2, first.actionsOf(Dispatch.class).size());
        assertEquals(1, first.actionsOf(OwnershipGained.class).size());
    }

    @Test
    void delayedWriteAppliedBeforeItsRetryIsFoundByItsBatch() {
        first.request("a", 1, 5_000);
        store.apply(first.loseCall());
        long revision = store.revisionOf("trefoilpost/claims/0/tail");
        first.retry();
        assertTrue(first.dispatched("a"));
        assertEquals(revision, store.revisionOf("trefoilpost/claims/0/tail"));
    }

    @Test
    void delayedWriteCannotTakeEffectAfterATakeOver() {
        first.request("a", 1, 5_000);
        StoreCall delayed = first.loseCall();
        ShardHarness second = second().runToAnswer("a2", 1);
        assertInstanceOf(StoreConflicted.class, store.apply(delayed));
        first.retry();
        assertEquals(UNAVAILABLE, first.verdict("a"));
        assertTrue(second.request("a3", 1, 500).replayed("a3"));
    }

    @Test
    void claimsOfAKilledOwnerMayHaveRun() {
        first.request("a", 1, 500);
        store.apply(first.takeCall());
        ShardHarness second = second().request("a2", 1, 500).answerAll();
        assertEquals(CLAIMED_EARLIER, second.verdict("a2"));
        assertTrue(second.actionsOf(Dispatch.class).isEmpty());
    }

    @Test
    void requestRefusedAtItsDeadlineIsNeverSent() {
        first.request("a", 1, 100);
        StoreCall pending = first.takeCall();
        first.advance(100);
        assertEquals(UNAVAILABLE, first.verdict("a"));
        first.send(store.apply(pending));
        assertFalse(first.dispatched("a"));
        assertTrue(first.request("a2", 1, 100).dispatched("a2"));
    }

    @Test
    void ownerRewritesItsClaimsAfterTheStoreWasRestored() {
        store.backUp();
        first.runToAnswer("a", 1).runToAnswer("b", 2);
        store.restore();
        first.request("c", 3, 5_000).answerAll();
        assertTrue(first.dispatched("c"));
        assertTrue(first.request("a2", 1, 500).replayed("a2"));
        assertEquals(2, first.actionsOf(OwnershipGained.class).get(1).epoch());
        assertEquals(1, first.actionsOf(StoreRestored.class).size());
        ShardHarness second = second();
        assertEquals(3, second.actionsOf(OwnershipGained.class).get(0).epoch());
        second.request("a3", 1, 500).request("b3", 2, 500).request("c3", 3, 500).answerAll();
        assertTrue(second.actionsOf(Dispatch.class).isEmpty());
    }

    @Test
    void ownerDetectsARestoreByAConflictOnItsArchive() {
        ShardHarness second = new ShardHarness(
                store,
                "second",
                2,
                ShardHarness.settings().tailRolloverBytes(80).build());
        second.takeOver();
        store.backUp();
        second.runToAnswer("a", 1)
                .runToAnswer("b", 2)
                .runToAnswer("c", 3)
                .runToAnswer("d", 4)
                .runToAnswer("e", 5)
                .runToAnswer("f", 6);
        assertTrue(store.revisionOf("trefoilpost/claims/0/000000000001") > 0);
        store.restore();
        second.request("g", 7, 5_000).send(RequestCancelled.of("g")).answerAll();
        assertEquals(1, second.actionsOf(StoreRestored.class).size());
        ShardHarness third = ShardHarness.owner(store, "third", 3);
        for (int i = 1; i <= 6; i++) {
            third.request("t" + i, i, 500).answerAll();
        }
        assertTrue(third.actionsOf(Dispatch.class).isEmpty());
    }

    @Test
    void ownerRewritesTheClaimsOfAnArchiveLostInARestore() {
        ShardHarness second = new ShardHarness(
                store,
                "second",
                2,
                ShardHarness.settings().tailRolloverBytes(80).build());
        second.takeOver()
                .runToAnswer("a", 1)
                .runToAnswer("b", 2)
                .runToAnswer("c", 3)
                .runToAnswer("d", 4);
        store.backUp();
        second.runToAnswer("e", 5);
        store.restore();
        store.values().remove("trefoilpost/claims/0/000000000001");
        second.runToAnswer("f", 6).advance(1_000).answerAll();
        assertTrue(second.dispatched("f"));
        ShardHarness third = ShardHarness.owner(store, "third", 3);
        for (int i = 1; i <= 6; i++) {
            third.request("t" + i, i, 500).answerAll();
        }
        assertTrue(third.shard().isOwner());
        assertTrue(third.actionsOf(Dispatch.class).isEmpty());
    }

    @Test
    void ownerNeverReusesAnEpochLostInARestore() {
        store.backUp();
        ShardHarness second = second().runToAnswer("a", 1);
        ShardHarness third = ShardHarness.owner(store, "third", 3).runToAnswer("b", 2);
        store.restore();
        third.request("c", 3, 5_000).answerAll();
        assertEquals(4, third.actionsOf(OwnershipGained.class).get(1).epoch());
        assertEquals(1, third.actionsOf(StoreRestored.class).get(0).foundEpoch());
        assertEquals(1, third.actionsOf(StoreRestored.class).size());
        assertEquals(UNAVAILABLE, second.request("b2", 2, 500).answerAll().verdict("b2"));
        second.takeOver().request("b3", 2, 500).answerAll();
        assertEquals(5, second.actionsOf(OwnershipGained.class).get(1).epoch());
        assertEquals(CLAIMED_EARLIER, second.verdict("b3"));
    }

    @Test
    void takeOverReportsAJournalOlderThanAnObservedEpoch() {
        ShardHarness second =
                new ShardHarness(store, "second", 2, ShardHarness.settings().build());
        second.send(EpochObserved.of(7)).takeOver();
        assertEquals(1, second.actionsOf(StoreRestored.class).get(0).foundEpoch());
        assertEquals(8, second.actionsOf(OwnershipGained.class).get(0).epoch());
        assertTrue(first.actionsOf(StoreRestored.class).isEmpty());
    }

    @Test
    void newerAndDamagedSegmentsAreLeftUntouched() {
        String tail = "trefoilpost/claims/0/tail";
        byte[] newer = store.bytes(tail).clone();
        newer[0] = SegmentCodec.FORMAT + 1;
        checkRefused(tail, newer, JournalFault.NEWER_FORMAT);
        byte[] damaged = store.bytes(tail).clone();
        damaged[0] = SegmentCodec.FORMAT;
        damaged[damaged.length - 1] ^= 1;
        checkRefused(tail, damaged, JournalFault.DAMAGED);
    }

    private void checkRefused(String key, byte[] value, JournalFault fault) {
        store.put(key, value);
        long revision = store.revisionOf(key);
        ShardHarness second = second();
        assertEquals(fault, second.actionsOf(JournalRefused.class).get(0).fault());
        assertEquals(UNAVAILABLE, second.request("x", 9, 500).verdict("x"));
        first.request("y" + revision, 9, 500).answerAll();
        assertEquals(UNAVAILABLE, first.verdict("y" + revision));
        assertEquals(revision, store.revisionOf(key));
    }
}
