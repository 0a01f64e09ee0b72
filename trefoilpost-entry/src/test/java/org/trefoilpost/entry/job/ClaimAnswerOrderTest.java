package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Plays commits, lapses, renewals and checks of a claim whose answers arrive in an order drawn from a seed.
 */
class ClaimAnswerOrderTest {
    private static final String OTHER_ENTRY = "another entry";
    private static final int SEEDS = 200;
    private static final int STEPS = 60;
    /** Longer than the delay between two renewals. */
    private static final long STEP_MILLIS = 300;

    /** Guards against an owner that gives up its own pool, as an answer is taken for one about the present claim. */
    @Test
    void claimIsKeptInWhicheverOrderAnswersArrive() {
        for (int seed = 0; seed < SEEDS; seed++) {
            try (Play play = new Play(seed)) {
                play.steps(STEPS);
                play.settle();
                assertFalse(play.isLost(), seed + ": " + play.events());
                assertEquals(play.commits, play.committed(), seed + ": " + play.events());
                assertEquals(play.store.revisionOf(ClaimedPool.OWNER_KEY), play.holder.token(), "seed " + seed);
                assertEquals(
                        play.store.revisionOf(ClaimedPool.COUNTER_KEY), play.holder.counterRevision(), "seed " + seed);
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
                assertTrue(play.isLost(), seed + ": " + play.events());
                assertEquals(OTHER_ENTRY, play.store.text(ClaimedPool.OWNER_KEY), "seed " + seed);
                assertEquals(OTHER_ENTRY, play.store.text(ClaimedPool.COUNTER_KEY), "seed " + seed);
            }
        }
    }

    /** An owner with a store whose answers are held back. */
    private static final class Play implements AutoCloseable {
        private final ClaimedPool pool = new ClaimedPool();
        private final HeldAnswersStore store = pool.store();
        private final RecordingHolder holder = pool.holder();
        private final OwnerCheck ownerCheck =
                new OwnerCheck(holder, pool.service().context(), confirmed -> {});
        private final Random random;
        private long commits;

        Play(int seed) {
            random = new Random(seed);
            store.holdAnswers(true);
            store.holdReads(true);
        }

        void steps(int count) {
            for (int i = 0; i < count && !isLost(); i++) {
                step(random.nextInt(6));
            }
        }

        private void step(int kind) {
            pool.pass(STEP_MILLIS);
            switch (kind) {
                case 0 -> commit();
                case 1 -> lapse();
                case 2 -> renew();
                case 3 -> checkOwner();
                default -> release();
            }
        }

        private void commit() {
            if (committed() < commits) {
                pool.service().run(() -> holder.store().sendAgain());
            } else {
                commits++;
                pool.commit(commits);
            }
        }

        private void lapse() {
            if (random.nextInt(3) == 0) {
                store.holdAnswers(false);
                pool.lapse();
                store.holdAnswers(true);
            }
        }

        private void renew() {
            if (holder.store().awaitsClaim() && !holder.isLapsed()) {
                pool.service().run(holder::claimLapsed);
            }
            if (holder.isLapsed()) {
                pool.renew();
            }
        }

        private void checkOwner() {
            pool.service().run(() -> ownerCheck.request(pool.now()));
        }

        private void release() {
            if (store.heldAnswers() > 0) {
                pool.service().run(() -> store.releaseAnswer(random.nextInt(store.heldAnswers())));
            }
        }

        void claimByAnotherEntry() {
            store.expireAllLeases();
            store.put(ClaimedPool.OWNER_KEY, OTHER_ENTRY);
            store.put(ClaimedPool.COUNTER_KEY, OTHER_ENTRY);
        }

        /** Gives all answers, and lets the owner renew its claim and store a last commit. */
        void settle() {
            store.holdAnswers(false);
            store.holdReads(false);
            for (int i = 0; i < 5 && !isLost(); i++) {
                pool.pass(STEP_MILLIS);
                pool.service().run(store::releaseAnswers);
                commit();
                renew();
                checkOwner();
            }
        }

        List<String> events() {
            return pool.events();
        }

        boolean isLost() {
            return events().stream().anyMatch(event -> event.startsWith("lost"));
        }

        long committed() {
            return events().stream()
                    .filter(event -> event.startsWith("committed"))
                    .distinct()
                    .count();
        }

        @Override
        public void close() {
            pool.close();
        }
    }
}
