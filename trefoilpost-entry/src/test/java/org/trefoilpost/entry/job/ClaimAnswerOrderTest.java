package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.Commit;
import org.trefoilpost.decision.job.Moment;

/**
 * Plays commits, lapses, renewals and checks of a claim whose answers arrive in an order drawn from a seed.
 */
class ClaimAnswerOrderTest {
    private static final String POOL = "pool";
    private static final String OWNER_KEY = LiveEntries.ownerKey(POOL);
    private static final String COUNTER_KEY = PoolStore.counterKey(POOL);
    private static final String OTHER_ENTRY = "another entry";
    private static final int SEEDS = 200;
    private static final int STEPS = 60;
    /** Longer than the delay between two renewals. */
    private static final long STEP_MILLIS = 300;

    /** Guards against a pool that is loaded anew, or given up to itself, as an answer is taken for one about the present claim. */
    @Test
    void claimIsKeptInWhicheverOrderAnswersArrive() {
        for (int seed = 0; seed < SEEDS; seed++) {
            try (Play play = new Play(seed)) {
                play.steps(STEPS);
                play.settle();
                assertFalse(play.isLost(), seed + ": " + play.events);
                assertEquals(play.commits, play.committed(), seed + ": " + play.events);
                assertEquals(play.store.revisionOf(OWNER_KEY), play.holder.token(), "seed " + seed);
                assertEquals(play.store.revisionOf(COUNTER_KEY), play.holder.counterRevision(), "seed " + seed);
            }
        }
    }

    /** Guards against an owner that goes on after another entry has claimed its pool. */
    @Test
    void claimOfAnotherEntryIsNoticedInWhicheverOrderAnswersArrive() {
        for (int seed = 0; seed < SEEDS; seed++) {
            try (Play play = new Play(seed)) {
                play.steps(STEPS / 2);
                play.claimByAnotherEntry();
                play.steps(STEPS / 2);
                play.settle();
                assertTrue(play.isLost(), seed + ": " + play.events);
                assertEquals(OTHER_ENTRY, play.store.text(OWNER_KEY), "seed " + seed);
                assertEquals(OTHER_ENTRY, play.store.text(COUNTER_KEY), "seed " + seed);
            }
        }
    }

    /** An owner with a store whose answers are held back. */
    private static final class Play implements AutoCloseable {
        private final HeldAnswersStore store = new HeldAnswersStore();
        private final TestService service = new TestService(store, null, null);
        private final List<String> events = new ArrayList<>();
        private final Random random;
        private final PoolOwnership ownership;
        private final RecordingHolder holder;
        private final OwnerCheck ownerCheck;
        private long commits;
        private long passedMillis;

        Play(int seed) {
            random = new Random(seed);
            JobContext context = service.context();
            ownership = new PoolOwnership(context, new LiveEntries(), "incarnation", new NoListener());
            service.run(() -> ownership.tick(Set.of(), now().steadyMillis()));
            StorePort.Put owner = new StorePort.Put(OWNER_KEY, new byte[0], 1);
            StorePort.Put counter = new StorePort.Put(COUNTER_KEY, new byte[0], 0);
            long token = store.commit(new StorePort.Change(Map.of(), List.of(owner, counter), List.of()))
                    .join();
            holder = new RecordingHolder(POOL, token, context, events);
            ownerCheck = new OwnerCheck(holder, context, confirmed -> {});
            store.holdAnswers(true);
            store.holdReads(true);
        }

        void steps(int count) {
            for (int i = 0; i < count && !isLost(); i++) {
                step(random.nextInt(6));
            }
        }

        private void step(int kind) {
            passedMillis += STEP_MILLIS;
            switch (kind) {
                case 0 -> commit();
                case 1 -> lapse();
                case 2 -> renew();
                case 3 -> service.run(() -> ownerCheck.request(now()));
                default -> release();
            }
        }

        private void commit() {
            if (committed() < commits) {
                service.run(() -> holder.store().sendAgain());
                return;
            }
            commits++;
            Commit commit =
                    new Commit(commits, Map.of("job", new byte[] {1}), List.of(), Set.of("q"), false, List.of());
            service.run(() -> holder.store().commit(commit, Map.of(), now().steadyMillis(), holder));
        }

        /** Ends the lease, of which the owner learns, and has it obtain another one. */
        private void lapse() {
            if (random.nextInt(3) == 0) {
                store.holdAnswers(false);
                store.expireAllLeases();
                service.run(holder::claimLapsed);
                service.run(ownership::checkLease);
                service.run(() -> ownership.tick(Set.of(), now().steadyMillis()));
                service.run(() -> ownership.tick(Set.of(), now().steadyMillis()));
                store.holdAnswers(true);
            }
        }

        private void renew() {
            if (holder.store().awaitsClaim() && !holder.isLapsed()) {
                service.run(holder::claimLapsed);
            }
            if (holder.isLapsed()) {
                service.run(() -> ownership.renewClaim(holder, now()));
            }
        }

        private void release() {
            if (store.heldAnswers() > 0) {
                service.run(() -> store.releaseAnswer(random.nextInt(store.heldAnswers())));
            }
        }

        void claimByAnotherEntry() {
            store.expireAllLeases();
            store.put(OWNER_KEY, OTHER_ENTRY);
            store.put(COUNTER_KEY, OTHER_ENTRY);
        }

        /** Gives all answers, and lets the owner renew its claim and store a last commit. */
        void settle() {
            store.holdAnswers(false);
            store.holdReads(false);
            for (int i = 0; i < 5 && !isLost(); i++) {
                passedMillis += STEP_MILLIS;
                service.run(store::releaseAnswers);
                commit();
                renew();
                service.run(() -> ownerCheck.request(now()));
            }
        }

        boolean isLost() {
            return events.stream().anyMatch(event -> event.startsWith("lost"));
        }

        long committed() {
            return events.stream()
                    .filter(event -> event.startsWith("committed"))
                    .distinct()
                    .count();
        }

        private Moment now() {
            return service.context().now().plus(passedMillis);
        }

        @Override
        public void close() {
            service.close();
        }
    }

    /** Claims no pools, and learns of lapses from the test. */
    private static final class NoListener implements PoolOwnership.Listener {
        @Override
        public void poolClaimed(String pool, long token) {
            // No pools are claimed here.
        }

        @Override
        public void allClaimsLapsed() {
            // The holder is told of the lapse by the test.
        }

        @Override
        public void storeReturned() {
            // The test sends commits again itself.
        }

        @Override
        public void leaseObtained() {
            // The test renews the claim itself.
        }
    }
}
