package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.Commit;
import org.trefoilpost.decision.job.Moment;

/**
 * Replays outages of the store in which the lease of an owner ends: the owner goes on with its state if no other entry
 * has claimed the pool, and only then.
 */
class ClaimRenewalTest {
    private static final String POOL = "pool";
    private static final String OWNER_KEY = LiveEntries.ownerKey(POOL);
    private static final String COUNTER_KEY = PoolStore.counterKey(POOL);

    private final HeldAnswersStore store = new HeldAnswersStore();
    private final TestService service = new TestService(store, null, null);
    private final List<String> events = new ArrayList<>();
    private JobContext context;
    private PoolOwnership ownership;
    private PoolStore poolStore;
    private RecordingHolder holder;

    @BeforeEach
    void claim() {
        context = service.context();
        ownership = new PoolOwnership(context, new LiveEntries(), "incarnation", new ClaimListener());
        service.run(() -> ownership.tick(Set.of(), now().steadyMillis()));
        long token = store.commit(claimOfThisEntry()).join();
        holder = new RecordingHolder(POOL, token, context, events);
        poolStore = holder.store();
    }

    private static StorePort.Change claimOfThisEntry() {
        StorePort.Put owner = new StorePort.Put(OWNER_KEY, new byte[0], 1);
        StorePort.Put counter = new StorePort.Put(COUNTER_KEY, new byte[0], 0);
        return new StorePort.Change(Map.of(), List.of(owner, counter), List.of());
    }

    @AfterEach
    void stop() {
        service.close();
    }

    @Test
    void lapsedClaimIsRenewedInPlace() {
        lapse();
        renew();
        assertEquals(List.of("lapsed", "renewed"), events);
        assertEquals(store.revisionOf(OWNER_KEY), holder.token());
        assertEquals(holder.token(), poolStore.counterRevision());
    }

    @Test
    void claimOfAnotherEntryInBetweenIsNoticedThoughItsKeyIsGone() {
        lapse();
        store.put(COUNTER_KEY, "claim of another entry");
        renew();
        assertEquals(List.of("lapsed", "lost claimed-by-another"), events);
        assertEquals(0, store.revisionOf(OWNER_KEY));
    }

    @Test
    void renewalWithoutAnAnswerIsFoundByItsMarker() throws InterruptedException {
        lapse();
        store.loseNextAnswer();
        renew();
        assertEquals(List.of("lapsed"), events);
        Thread.sleep(250);
        renew();
        assertEquals(List.of("lapsed", "renewed"), events);
        assertEquals(store.revisionOf(OWNER_KEY), holder.token());
    }

    @Test
    void commitThatTookEffectBeforeTheLapseIsCompletedOnce() throws InterruptedException {
        store.loseNextAnswer();
        commit();
        lapse();
        renew();
        Thread.sleep(250);
        renew();
        assertTrue(events.contains("committed 1"), events.toString());
        assertTrue(events.contains("renewed"), events.toString());
        assertEquals(1, events.stream().filter("committed 1"::equals).count());
        assertFalse(events.stream().anyMatch(event -> event.startsWith("lost")), events.toString());
    }

    @Test
    void commitWaitsForTheRenewalOfALapsedClaim() {
        lapse();
        commit();
        assertEquals(List.of("lapsed"), events);
        assertTrue(poolStore.awaitsClaim());
        renew();
        assertEquals(List.of("lapsed", "renewed", "committed 1"), events);
    }

    @Test
    void commitOfAFormerOwnerIsLost() {
        lapse();
        store.put(OWNER_KEY, "another entry");
        store.put(COUNTER_KEY, "claim of another entry");
        commit();
        assertEquals(List.of("lapsed", "lost conflict"), events);
    }

    /** Guards against a pool that is loaded anew as the conflict of a commit is handled before the answer to its renewal. */
    @Test
    void renewalThatIsAnsweredAfterTheConflictOfACommit() {
        lapse();
        store.holdAnswers(true);
        renew();
        store.holdAnswers(false);
        commit();
        release();
        assertEquals(List.of("lapsed", "renewed", "committed 1"), events);
    }

    /** Guards against a pool that is loaded anew as the conflict of a commit is handled after the answer to its renewal. */
    @Test
    void conflictOfACommitThatArrivesAfterTheRenewal() {
        lapse();
        store.holdAnswers(true);
        commit();
        store.holdAnswers(false);
        renew();
        assertEquals(List.of("lapsed", "renewed"), events);
        release();
        assertEquals(List.of("lapsed", "renewed", "committed 1"), events);
    }

    /** Guards against a pool that is loaded anew as its last commit is answered between the renewal and its conflict. */
    @Test
    void commitBeforeTheLapseThatIsAnsweredAfterTheRenewalIsSent() throws InterruptedException {
        store.holdAnswers(true);
        commit();
        lapse();
        renew();
        release();
        assertEquals(List.of("lapsed", "committed 1"), events);
        Thread.sleep(250);
        renew();
        assertEquals(List.of("lapsed", "committed 1", "renewed"), events);
        assertEquals(store.revisionOf(OWNER_KEY), holder.token());
    }

    /** Guards against a pool that is loaded anew as its owner takes its claim for lapsed by mistake. */
    @Test
    void claimThatHasNotLapsedIsKept() {
        commit();
        long revision = poolStore.counterRevision();
        service.run(holder::claimLapsed);
        renew();
        assertEquals(List.of("committed 1", "lapsed", "renewed"), events);
        assertEquals(store.revisionOf(OWNER_KEY), holder.token());
        assertEquals(revision, poolStore.counterRevision());
    }

    @Test
    void storeThatFailsCommitsIsUnreachableBeforeOneThatIsSilent() throws InterruptedException {
        store.refuseCalls(true);
        commit();
        assertTrue(poolStore.isReachable(now().steadyMillis()));
        Thread.sleep(400);
        assertFalse(poolStore.isReachable(now().steadyMillis()));
        store.refuseCalls(false);
        for (int i = 0; i < 100 && !poolStore.isReachable(now().steadyMillis()); i++) {
            Thread.sleep(20);
        }
        assertTrue(poolStore.isReachable(now().steadyMillis()), "the commit is stored after the store's return");
    }

    @Test
    void returnOfASilentStoreIsNoticedByTheNextProbe() throws InterruptedException {
        store.silent(true);
        for (int i = 0; i < 60; i++) {
            service.run(() -> ownership.tick(Set.of(), now().steadyMillis()));
            Thread.sleep(20);
        }
        assertEquals(List.of(), events);
        store.silent(false);
        for (int i = 0; i < 60 && events.isEmpty(); i++) {
            service.run(() -> ownership.tick(Set.of(), now().steadyMillis()));
            Thread.sleep(20);
        }
        assertEquals(List.of("store returned"), events);
    }

    @Test
    void commitToASilentStoreIsSentAgainOnItsReturn() {
        store.silent(true);
        commit();
        store.silent(false);
        assertEquals(List.of(), events);
        service.run(() -> poolStore.sendAgain());
        assertEquals(List.of("committed 1"), events);
    }

    @Test
    void releasedClaimIsRemovedUnlessAnotherEntryHasClaimedThePool() {
        service.run(() -> ownership.release(POOL, holder.token(), now().steadyMillis()));
        assertEquals(0, store.revisionOf(OWNER_KEY));
        store.put(OWNER_KEY, "another entry");
        service.run(() -> ownership.release(POOL, holder.token(), now().steadyMillis() + 1_000));
        assertTrue(store.revisionOf(OWNER_KEY) != 0);
    }

    private void commit() {
        Commit commit = new Commit(1, Map.of("job", new byte[] {1}), List.of(), Set.of("q"), false, List.of());
        service.run(() -> poolStore.commit(commit, Map.of(), now().steadyMillis(), holder));
    }

    private void lapse() {
        store.expireAllLeases();
        service.run(holder::claimLapsed);
        service.run(() -> ownership.checkLease());
        service.run(() -> ownership.tick(Set.of(), now().steadyMillis()));
        service.run(() -> ownership.tick(Set.of(), now().steadyMillis()));
    }

    private void release() {
        store.holdAnswers(false);
        service.run(store::releaseAnswers);
    }

    private void renew() {
        service.run(() -> ownership.renewClaim(holder, now()));
    }

    private Moment now() {
        return context.now();
    }

    private final class ClaimListener implements PoolOwnership.Listener {
        @Override
        public void poolClaimed(String pool, long token) {
            // These tests make no first claims.
        }

        @Override
        public void allClaimsLapsed() {
            // The holder is told of the lapse by the test.
        }

        @Override
        public void storeReturned() {
            events.add("store returned");
        }

        @Override
        public void leaseObtained() {
            // The test renews the claim itself.
        }
    }
}
