package org.trefoilpost.decision.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.trefoilpost.model.verdict.UncertaintyReason;

class ClaimShardTest {
    private static final String UNAVAILABLE = "not-run(claim-unavailable)";
    private static final String CLAIMED_EARLIER = "may-have-run(claimed-earlier)";
    private static final long MINUTE = 60_000;

    private final FakeStore store = new FakeStore();
    private final ShardHarness owner = ShardHarness.owner(store, "first", 1);

    @Test
    void concurrentRepeatsWaitForTheFirstRequest() {
        owner.request("a", 1, 500).request("b", 1, 500).answerAll().request("c", 1, 500);
        assertEquals(1, owner.actionsOf(Dispatch.class).size());
        assertEquals(2, owner.actionsOf(Join.class).size());
        owner.send(AnswerRecorded.of(ShardHarness.key(1), () -> 10)).request("d", 1, 500);
        assertTrue(owner.replayed("b") && owner.replayed("c") && owner.replayed("d"));
    }

    @Test
    void repeatsOfAnUnknownOutcomeMayHaveRun() {
        owner.request("a", 1, 500).answerAll().request("b", 1, 500).request("c", 1, 100);
        owner.advance(100).send(OutcomeUnknown.of(ShardHarness.key(1), UncertaintyReason.CONNECTION_LOST));
        assertEquals("may-have-run(connection-lost)", owner.verdict("b"));
        assertEquals("may-have-run(deadline-passed)", owner.verdict("c"));
        assertEquals(CLAIMED_EARLIER, owner.request("d", 1, 500).verdict("d"));
    }

    @Test
    void claimOfAnUnsentRequestPassesToItsRepeat() {
        owner.request("a", 1, 500).answerAll().request("b", 1, 500);
        owner.send(DispatchAbandoned.of(ShardHarness.key(1)));
        assertTrue(owner.dispatched("b"));
        owner.send(DispatchAbandoned.of(ShardHarness.key(1))).request("c", 1, 500);
        assertTrue(owner.dispatched("c"));
    }

    @Test
    void claimOfACancelledRequestPassesToItsRepeat() {
        owner.request("a", 1, 500).request("b", 1, 500).send(RequestCancelled.of("a"));
        owner.answerAll();
        assertTrue(owner.dispatched("b"));
        assertFalse(owner.dispatched("a"));
    }

    @Test
    void sameKeyWithAnotherRequestIsRefusedAlsoAfterATakeOver() {
        owner.runToAnswer("a", 1);
        ClaimEvent reuse = ClaimRequested.of(
                "b", ShardHarness.key(1), RequestFingerprint.of("POST", "/p/x", new byte[32]), owner.now() + 500);
        assertEquals("not-run(key-reused)", owner.send(reuse).verdict("b"));
        ShardHarness second = ShardHarness.owner(store, "second", 2);
        assertEquals("not-run(key-reused)", second.send(reuse).verdict("b"));
    }

    @Test
    void keysWithATimeOutsideTheRetentionAreRefused() {
        assertEquals("none", requestAged("a", 15 * MINUTE));
        assertEquals("not-run(key-expired)", requestAged("b", 15 * MINUTE + 1));
        assertEquals("none", requestAged("c", -MINUTE));
        assertEquals("not-run(key-expired)", requestAged("d", -MINUTE - 1));
    }

    private String requestAged(String requestId, long ageMillis) {
        String time = String.format("%012x", owner.now() - ageMillis);
        ClaimKey key = ClaimKey.parse(
                time.substring(0, 8) + "-" + time.substring(8) + "-7abc-8abc-0123456789ab".toUpperCase());
        owner.send(ClaimRequested.of(requestId, key, ShardHarness.FINGERPRINT, owner.now() + 500));
        return owner.verdict(requestId);
    }

    @Test
    void knownOutageRefusesNewKeysAtOnceAndAnswersKnownOnes() {
        owner.runToAnswer("a", 1).request("b", 2, 60_000);
        owner.loseCall();
        owner.request("c", 3, 60_000).advance(1_000);
        assertEquals("none", owner.verdict("c"));
        owner.loseCall();
        assertEquals(UNAVAILABLE, owner.verdict("c"));
        assertEquals(UNAVAILABLE, owner.request("d", 4, 60_000).verdict("d"));
        Conclude refusal = owner.actionsOf(Conclude.class).get(1);
        assertEquals(1, refusal.verdict().retryAfter().orElseThrow().toSeconds());
        assertTrue(owner.request("a2", 1, 500).replayed("a2"));
        owner.retry();
        assertTrue(owner.dispatched("b"));
        assertTrue(owner.request("e", 5, 500).answerAll().dispatched("e"));
    }

    @Test
    void aStopRefusesRequestsThatWaitForTheirClaimAndDispatchesNoneLater() {
        owner.request("a", 1, 500).answerAll().request("b", 1, 500).request("c", 2, 500);
        owner.send(EntryStopping.of());
        assertEquals("may-have-run(connection-lost)", owner.verdict("b"));
        assertEquals("not-run(shutting-down)", owner.verdict("c"));
        owner.answerAll();
        assertFalse(owner.dispatched("c"));
    }

    @Test
    void waitingRequestsAreBounded() {
        ShardHarness small = new ShardHarness(
                new FakeStore(),
                "small",
                5,
                ShardHarness.settings().maxPendingRequests(2).build());
        small.takeOver().request("a", 1, 500).request("b", 2, 500).request("c", 3, 500);
        assertEquals(UNAVAILABLE, small.verdict("c"));
    }

    @Test
    void answersAreBoundedAndEvictedOnesMayHaveRun() {
        ShardHarness small = new ShardHarness(
                new FakeStore(),
                "small",
                5,
                ShardHarness.settings().maxAnswerBytes(250).build());
        small.takeOver().runToAnswer("a", 1).runToAnswer("b", 2).runToAnswer("c", 3);
        assertEquals(200, small.shard().answerBytes());
        assertEquals(CLAIMED_EARLIER, small.request("a2", 1, 500).verdict("a2"));
        assertTrue(small.request("b2", 2, 500).replayed("b2"));
    }

    @Test
    void handOverPassesAnswersToTheNextOwner() {
        owner.runToAnswer("a", 1).request("b", 2, 500).answerAll();
        owner.request("c", 3, 500).send(HandOverRequested.of()).request("d", 4, 500);
        assertEquals(UNAVAILABLE, owner.verdict("d"));
        owner.answerAll();
        assertTrue(owner.dispatched("c"));
        assertFalse(owner.shard().isOwner());
        ShardHarness second =
                new ShardHarness(store, "second", 2, ShardHarness.settings().build());
        owner.actionsOf(HandOverReady.class).forEach(ready -> second.send(HandOverReceived.of(ready.handOver())));
        second.takeOver().request("a2", 1, 500).request("b2", 2, 500);
        assertTrue(second.replayed("a2"));
        assertEquals(CLAIMED_EARLIER, second.verdict("b2"));
        owner.send(AnswerRecorded.of(ShardHarness.key(2), () -> 10));
        HandOver late = owner.actionsOf(HandOverReady.class).get(1).handOver();
        assertTrue(second.send(HandOverReceived.of(late)).request("b3", 2, 500).replayed("b3"));
    }

    @Test
    void retentionDropsClaimsAndDeletesArchives() {
        ShardHarness small = new ShardHarness(
                store,
                "second",
                2,
                ShardHarness.settings()
                        .tailRolloverBytes(300)
                        .maxArchiveBytes(800)
                        .build());
        small.takeOver();
        for (int i = 0; i < 400; i++) {
            small.advance(10_000).runToAnswer("r" + i, i).answerAll();
        }
        int heldAtMost = 17 * 6 + 1;
        assertTrue(
                small.shard().heldKeys() <= heldAtMost, "held: " + small.shard().heldKeys());
        int archivesAtMost = heldAtMost / (800 / SegmentCodec.MAX_CLAIM_BYTES - 9) + 2;
        assertTrue(
                store.values().size() <= archivesAtMost + 1,
                "keys: " + store.values().keySet());
        ShardHarness third = ShardHarness.owner(store, "third", 3);
        long now = small.now();
        third.advance(now - third.now());
        for (int i = 400 - 90; i < 400; i++) {
            assertEquals(CLAIMED_EARLIER, third.request("t" + i, i, 500).verdict("t" + i));
        }
    }

    @Test
    void storeWritesStayWithinTheGrantInAnySecond() {
        int share = 10;
        ClaimSettings settings =
                ClaimSettings.builder().grantedWrites(share * 32, 32).build();
        FakeStore fresh = new FakeStore();
        ShardHarness limited = new ShardHarness(fresh, "limited", 6, settings).takeOver();
        Random random = new Random(7);
        Deque<Long> lastSecond = new ArrayDeque<>();
        int requests = 20_000;
        for (int i = 0; i < requests; i++) {
            int quiet = random.nextInt(1_000) == 0 ? 3_000 : 0;
            limited.request("r" + i, i, 10_000)
                    .advance(quiet + random.nextInt(2))
                    .answerAll();
            while (lastSecond.size() < fresh.writes()) {
                lastSecond.add(limited.now());
            }
            checkWindows(lastSecond, share);
        }
        limited.advance(1_000).answerAll();
        assertEquals(requests, limited.actionsOf(Dispatch.class).size());
    }

    private static void checkWindows(Deque<Long> times, int share) {
        long last = times.getLast();
        long recent = 0;
        Iterator<Long> newestFirst = times.descendingIterator();
        while (newestFirst.hasNext() && newestFirst.next() > last - 1_000) {
            recent++;
        }
        assertTrue(recent <= share, recent + " writes in the second before " + last);
    }

    @Test
    void takeOverNeedsTwoCallsAndOneForEachArchive() {
        ShardHarness small = new ShardHarness(
                store,
                "second",
                2,
                ShardHarness.settings()
                        .tailRolloverBytes(300)
                        .maxArchiveBytes(1_000)
                        .build());
        small.takeOver();
        for (int i = 0; i < 200; i++) {
            small.advance(10).runToAnswer("r" + i, i);
        }
        int archives = store.values().size() - 1;
        long calls = store.reads() + store.writes();
        ShardHarness.owner(store, "third", 3);
        assertTrue(archives > 5, "archives: " + archives);
        assertEquals(2 + archives, store.reads() + store.writes() - calls);
    }

    @Test
    void missingArchiveIsReported() {
        ShardHarness small = new ShardHarness(
                store,
                "second",
                2,
                ShardHarness.settings().tailRolloverBytes(300).build());
        small.takeOver();
        for (int i = 0; i < 20; i++) {
            small.runToAnswer("r" + i, i);
        }
        store.values().remove("trefoilpost/claims/0/000000000001");
        ShardHarness third = ShardHarness.owner(store, "third", 3);
        assertEquals(
                JournalFault.MISSING,
                third.actionsOf(JournalRefused.class).get(0).fault());
        assertEquals(UNAVAILABLE, third.request("x", 1, 500).verdict("x"));
    }
}
