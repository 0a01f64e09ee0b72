package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.Moment;

/**
 * Replays outages of the store in which the lease of an owner ends: the owner goes on with its state if no other entry
 * has claimed the pool, and only then.
 */
class ClaimRenewalTest {
    private final ClaimedPool pool = new ClaimedPool();
    private final HeldAnswersStore store = pool.store();
    private final TestService service = pool.service();
    private final List<String> events = pool.events();
    private final PoolOwnership ownership = pool.ownership();
    private final RecordingHolder holder = pool.holder();
    private final PoolStore poolStore = holder.store();

    @AfterEach
    void stop() {
        pool.close();
    }

    @Test
    void lapsedClaimIsRenewedInPlace() {
        lapse();
        renew();
        assertEquals(List.of("lapsed", "renewed"), events);
        assertEquals(store.revisionOf(ClaimedPool.OWNER_KEY), holder.token());
        assertEquals(holder.token(), poolStore.counterRevision());
    }

    @Test
    void claimOfAnotherEntryInBetweenIsNoticedThoughItsKeyIsGone() {
        lapse();
        store.put(ClaimedPool.COUNTER_KEY, "claim of another entry");
        renew();
        assertEquals(List.of("lapsed", "lost claimed-by-another"), events);
        assertEquals(0, store.revisionOf(ClaimedPool.OWNER_KEY));
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
        assertEquals(store.revisionOf(ClaimedPool.OWNER_KEY), holder.token());
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
        store.put(ClaimedPool.OWNER_KEY, "another entry");
        store.put(ClaimedPool.COUNTER_KEY, "claim of another entry");
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
        assertEquals(store.revisionOf(ClaimedPool.OWNER_KEY), holder.token());
    }

    /** Guards against a pool that is loaded anew as its owner takes its claim for lapsed by mistake. */
    @Test
    void claimThatHasNotLapsedIsKept() {
        commit();
        long revision = poolStore.counterRevision();
        service.run(holder::claimLapsed);
        renew();
        assertEquals(List.of("committed 1", "lapsed", "renewed"), events);
        assertEquals(store.revisionOf(ClaimedPool.OWNER_KEY), holder.token());
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
            pool.tick();
            Thread.sleep(20);
        }
        assertEquals(List.of(), events);
        store.silent(false);
        for (int i = 0; i < 60 && events.isEmpty(); i++) {
            pool.tick();
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
        service.run(() -> ownership.release(ClaimedPool.POOL, holder.token(), now().steadyMillis()));
        assertEquals(0, store.revisionOf(ClaimedPool.OWNER_KEY));
        store.put(ClaimedPool.OWNER_KEY, "another entry");
        service.run(() -> ownership.release(ClaimedPool.POOL, holder.token(), now().steadyMillis() + 1_000));
        assertTrue(store.revisionOf(ClaimedPool.OWNER_KEY) != 0);
    }

    private void commit() {
        pool.commit(1);
    }

    private void lapse() {
        pool.lapse();
    }

    private void release() {
        store.holdAnswers(false);
        service.run(store::releaseAnswers);
    }

    private void renew() {
        pool.renew();
    }

    private Moment now() {
        return pool.now();
    }
}
