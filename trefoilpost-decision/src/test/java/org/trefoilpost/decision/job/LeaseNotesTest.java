package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against an owner that waits for leases which its predecessor is known not to have renewed, and against one that renews them. */
class LeaseNotesTest {
    private static final String JOB = "0123456789abcdef";
    private static final String TASK = JOB + ".0.0.0";
    private static final long CALL_MILLIS = 800;
    /** The longest time from a start without an answer to the next one. */
    private static final long MAX_WAIT_MILLIS = 6_000;

    private static final StepSpec LONG_RUNNING = StepSpec.builder()
            .tasks(1, new ResourceAmount(2_000, 4_000, 0))
            .estimateMillis(1_000)
            .longRunning(true)
            .build();

    private PoolWithFakeWorkers pool = new PoolWithFakeWorkers(2, 0);

    @ParameterizedTest
    @CsvSource({"3, 500", "2, 1000", "1, 2000"})
    void taskDoesNotWaitAnewForEachOfSeveralOwners(int owners, long ownerMillis) {
        loseWorkerOfAStart();
        long lostMillis = pool.now().steadyMillis();
        for (int i = 0; i < owners; i++) {
            pool.replaceOwner();
            pool.advance(ownerMillis);
        }
        assertEquals(Optional.empty(), pool.workerOf(TASK), "the lease of the start may not have expired");
        pool.advance(lostMillis + MAX_WAIT_MILLIS - CALL_MILLIS - pool.now().steadyMillis());
        assertTrue(pool.workerOf(TASK).isPresent());
    }

    /** Guards against a second run: the next owner takes the lease for expired by the note. */
    @Test
    void workerThatAnswersAgainIsGrantedNothingWhileItsNoteMayBeStored() {
        pool = new PoolWithFakeWorkers(1, 0);
        loseWorkerOfAStart();
        String worker = (String) pool.decisions("task-placed").get(0).inputs().get("worker");
        pool.storeAnswers(false);
        pool.find(worker);
        long granted = pool.countGrants(worker);
        pool.advance(2_000);
        assertEquals(granted, pool.countGrants(worker));
        assertEquals(Optional.empty(), pool.workerOf(TASK));
        pool.storeAnswers(true);
        pool.advance(1_000);
        assertEquals(Optional.of(worker), pool.workerOf(TASK));
    }

    /** Guards against runs that lapse because their worker's lease is not renewed until the store has answered. */
    @Test
    void workerWithConfirmedRunsGetsNoNote() {
        pool.advance(20_000);
        pool.submit(JOB, LONG_RUNNING);
        pool.advance(1_000);
        String worker = pool.workerOf(TASK).orElseThrow();
        pool.loseWorkerOfNextStart();
        pool.submit("1123456789abcdef", LONG_RUNNING);
        pool.advance(CALL_MILLIS);
        assertEquals(1, pool.decisions("start-unanswered").size());
        pool.storeAnswers(false);
        pool.find(worker);
        long granted = pool.countGrants(worker);
        pool.advance(1_000);
        assertTrue(pool.countGrants(worker) > granted);
    }

    /** Guards against a take-over of a job from a version of the program that writes no notes. */
    @Test
    void ownerWithoutANoteWaitsForTheLongestLease() {
        loseWorkerOfAStart();
        pool.storedByAnEarlierVersion(JOB);
        pool.replaceOwner();
        pool.advance(PoolScheduler.ORDERS_WITHOUT_STORE_MILLIS);
        assertFalse(pool.workerOf(TASK).isPresent());
        pool.advance(6_000);
        assertTrue(pool.workerOf(TASK).isPresent());
    }

    private void loseWorkerOfAStart() {
        pool.advance(20_000);
        pool.loseWorkerOfNextStart();
        pool.submit(JOB, LONG_RUNNING);
        pool.advance(CALL_MILLIS);
        assertEquals(1, pool.decisions("start-unanswered").size());
        pool.advance(200);
    }
}
