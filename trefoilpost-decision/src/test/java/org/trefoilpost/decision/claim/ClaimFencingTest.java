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
        first.request("a", 1, 500).request("b", 2, 100).settle();
        first.request("c", 3, 500).request("d", 4, 100);
        StoreReply late = store.apply(first.takeCall());
        ShardHarness second = second().request("c2", 3, 500).request("d2", 4, 500);
        first.pass(200).send(late);
        assertTrue(first.dispatched("c"));
        assertEquals(
                ShardHarness.START_MILLIS + 500,
                first.all(Dispatch.class).get(2).sendBeforeMillis());
        assertEquals(UNAVAILABLE, first.verdict("d"));
        assertFalse(first.dispatched("d"));
        assertEquals(CLAIMED_EARLIER, second.verdict("c2"));
        assertFalse(second.dispatched("c2") || second.settle().dispatched("c2"));
    }

    @Test
    void sealBeforeTheWriteFencesTheOwner() {
        first.request("a", 1, 500);
        ShardHarness second = second().request("a2", 1, 500).settle();
        assertTrue(second.dispatched("a2"));
        first.settle();
        assertFalse(first.dispatched("a"));
        assertEquals(UNAVAILABLE, first.verdict("a"));
        OwnershipLost lost = first.all(OwnershipLost.class).get(0);
        assertEquals(Optional.of(EntryId.of("second")), lost.successor());
        assertFalse(first.shard().isOwner());
    }

    @Test
    void onlyOneOfTwoTakersWins() {
        ShardHarness second =
                new ShardHarness(store, "second", 2, ShardHarness.settings().build());
        ShardHarness third =
                new ShardHarness(store, "third", 3, ShardHarness.settings().build());
        second.send(TakeOverRequested.of()).answer();
        third.send(TakeOverRequested.of()).answer();
        third.settle();
        second.settle();
        assertTrue(third.shard().isOwner());
        assertFalse(second.shard().isOwner());
        assertEquals(
                Optional.of(EntryId.of("third")),
                second.all(OwnershipLost.class).get(0).successor());
    }

    @Test
    void lostAnswerToTheSealIsResolved() {
        first.run("a", 1);
        ShardHarness second =
                new ShardHarness(store, "second", 2, ShardHarness.settings().build());
        second.send(TakeOverRequested.of()).answer();
        store.apply(second.lose());
        second.retry();
        assertEquals(2, second.all(OwnershipGained.class).get(0).epoch());
        assertEquals(CLAIMED_EARLIER, second.request("a2", 1, 500).verdict("a2"));
    }

    @Test
    void delayedWriteCannotTakeEffectAfterItsRetry() {
        first.request("a", 1, 5_000);
        StoreCall delayed = first.lose();
        first.retry();
        assertTrue(first.dispatched("a"));
        assertInstanceOf(StoreConflicted.class, store.apply(delayed));
        first.run("b", 2);
        assertEquals(2, first.all(Dispatch.class).size());
        assertEquals(1, first.all(OwnershipGained.class).size());
    }

    @Test
    void delayedWriteAppliedBeforeItsRetryIsFoundByItsBatch() {
        first.request("a", 1, 5_000);
        store.apply(first.lose());
        long revision = store.revisionOf("trefoilpost/claims/0/tail");
        first.retry();
        assertTrue(first.dispatched("a"));
        assertEquals(revision, store.revisionOf("trefoilpost/claims/0/tail"));
    }

    @Test
    void delayedWriteCannotTakeEffectAfterATakeOver() {
        first.request("a", 1, 5_000);
        StoreCall delayed = first.lose();
        ShardHarness second = second().run("a2", 1);
        assertInstanceOf(StoreConflicted.class, store.apply(delayed));
        first.retry();
        assertEquals(UNAVAILABLE, first.verdict("a"));
        assertTrue(second.request("a3", 1, 500).replayed("a3"));
    }

    @Test
    void claimsOfAKilledOwnerMayHaveRun() {
        first.request("a", 1, 500);
        store.apply(first.takeCall());
        ShardHarness second = second().request("a2", 1, 500).settle();
        assertEquals(CLAIMED_EARLIER, second.verdict("a2"));
        assertTrue(second.all(Dispatch.class).isEmpty());
    }

    @Test
    void requestRefusedAtItsDeadlineIsNeverSent() {
        first.request("a", 1, 100);
        StoreCall pending = first.takeCall();
        first.pass(100);
        assertEquals(UNAVAILABLE, first.verdict("a"));
        first.send(store.apply(pending));
        assertFalse(first.dispatched("a"));
        assertTrue(first.request("a2", 1, 100).dispatched("a2"));
    }

    @Test
    void ownerRewritesItsClaimsAfterTheStoreWasRestored() {
        store.backUp();
        first.run("a", 1).run("b", 2);
        store.restore();
        first.request("c", 3, 5_000).settle();
        assertTrue(first.dispatched("c"));
        assertTrue(first.request("a2", 1, 500).replayed("a2"));
        assertEquals(2, first.all(OwnershipGained.class).get(1).epoch());
        assertEquals(1, first.all(StoreRestored.class).size());
        ShardHarness second = second();
        assertEquals(3, second.all(OwnershipGained.class).get(0).epoch());
        second.request("a3", 1, 500).request("b3", 2, 500).request("c3", 3, 500).settle();
        assertTrue(second.all(Dispatch.class).isEmpty());
    }

    @Test
    void ownerNoticesARestoreByItsArchiveAlso() {
        ShardHarness second = new ShardHarness(
                store, "second", 2, ShardHarness.settings().tailBytes(80).build());
        second.own();
        store.backUp();
        second.run("a", 1).run("b", 2).run("c", 3).run("d", 4).run("e", 5).run("f", 6);
        assertTrue(store.revisionOf("trefoilpost/claims/0/000000000001") > 0);
        store.restore();
        second.request("g", 7, 5_000).send(RequestCancelled.of("g")).settle();
        assertEquals(1, second.all(StoreRestored.class).size());
        ShardHarness third = ShardHarness.owner(store, "third", 3);
        for (int i = 1; i <= 6; i++) {
            third.request("t" + i, i, 500).settle();
        }
        assertTrue(third.all(Dispatch.class).isEmpty());
    }

    @Test
    void ownerWithMemoryReplacesAnArchiveThatARestoreLost() {
        ShardHarness second = new ShardHarness(
                store, "second", 2, ShardHarness.settings().tailBytes(80).build());
        second.own().run("a", 1).run("b", 2).run("c", 3).run("d", 4);
        store.backUp();
        second.run("e", 5);
        store.restore();
        store.values().remove("trefoilpost/claims/0/000000000001");
        second.run("f", 6).pass(1_000).settle();
        assertTrue(second.dispatched("f"));
        ShardHarness third = ShardHarness.owner(store, "third", 3);
        for (int i = 1; i <= 6; i++) {
            third.request("t" + i, i, 500).settle();
        }
        assertTrue(third.shard().isOwner());
        assertTrue(third.all(Dispatch.class).isEmpty());
    }

    @Test
    void ownerNeverReusesAnEpochOfALostHistory() {
        store.backUp();
        ShardHarness second = second().run("a", 1);
        ShardHarness third = ShardHarness.owner(store, "third", 3).run("b", 2);
        store.restore();
        third.request("c", 3, 5_000).settle();
        assertEquals(4, third.all(OwnershipGained.class).get(1).epoch());
        assertEquals(1, third.all(StoreRestored.class).get(0).foundEpoch());
        assertEquals(1, third.all(StoreRestored.class).size());
        assertEquals(UNAVAILABLE, second.request("b2", 2, 500).settle().verdict("b2"));
        second.own().request("b3", 2, 500).settle();
        assertEquals(5, second.all(OwnershipGained.class).get(1).epoch());
        assertEquals(CLAIMED_EARLIER, second.verdict("b3"));
    }

    @Test
    void takerReportsAJournalBehindTheEpochThatPeersKnow() {
        ShardHarness second =
                new ShardHarness(store, "second", 2, ShardHarness.settings().build());
        second.send(EpochObserved.of(7)).own();
        assertEquals(1, second.all(StoreRestored.class).get(0).foundEpoch());
        assertEquals(8, second.all(OwnershipGained.class).get(0).epoch());
        assertTrue(first.all(StoreRestored.class).isEmpty());
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
        assertEquals(fault, second.all(JournalRefused.class).get(0).fault());
        assertEquals(UNAVAILABLE, second.request("x", 9, 500).verdict("x"));
        first.request("y" + revision, 9, 500).settle();
        assertEquals(UNAVAILABLE, first.verdict("y" + revision));
        assertEquals(revision, store.revisionOf(key));
    }
}
