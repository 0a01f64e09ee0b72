package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against a worker that starts again unseen, after the registry has ceased to list it, and carries out a late order. */
class ReturnProbesTest {
    private static final long BORN = 1_764_800_000_000L;
    private static final long REBORN = BORN + 9_000;
    private static final long CALL_MILLIS = 700;
    /** Time after which no order is carried out. */
    private static final long LATE_ORDER_MILLIS = 15_000;
    /** Time from a loss until the worker counts as gone in these tests. */
    private static final long LOSS_MILLIS = 2_000;

    private static final StepSpec LASTING = StepSpec.builder()
            .tasks(1, new ResourceAmount(4_000, 8_000, 0))
            .estimateMillis(1_000)
            .longRunning(true)
            .build();
    private static final String JOB = "0123456789abcdef";

    @Test
    void restartIsNoticedBeforeTheRegistryListsTheWorker() {
        PoolWithFakeWorkers pool = new PoolWithFakeWorkers(2, BORN);
        String lost = loseWorkerOfAStart(pool);
        pool.advance(3_000);
        pool.returnWorker(lost, REBORN);
        long stops = pool.countCalls(lost, WorkerOrder.Stop.class);
        pool.advance(200);
        assertEquals(1, pool.decisions("worker-restarted").size());
        assertTrue(pool.countCalls(lost, WorkerOrder.Stop.class) > stops, "the late start must be refused");
    }

    /** Guards against a former entry that is back for a while, and hides that the worker starts again. */
    @Test
    void restartIsNoticedThoughTheFormerEntryIsBack() {
        PoolWithFakeWorkers pool = new PoolWithFakeWorkers(2, BORN);
        String lost = loseWorkerOfAStart(pool);
        pool.advance(1_000);
        pool.listAllWorkers();
        pool.advance(1_000);
        pool.returnWorker(lost, REBORN);
        pool.advance(200);
        assertEquals(1, pool.decisions("worker-restarted").size());
    }

    /** Guards against a late order of an earlier owner, which a new process carries out as it has not seen a fencing token. */
    @Test
    void newOwnerShowsItsTokenToAWorkerThatStartsAgain() {
        PoolWithFakeWorkers pool = new PoolWithFakeWorkers(2, BORN);
        pool.advance(1_000);
        pool.lose("w1");
        pool.replaceOwner();
        pool.advance(LOSS_MILLIS);
        pool.endLostWorkers();
        pool.advance(3_000);
        pool.returnWorker("w1", REBORN);
        pool.advance(200);
        assertEquals(1, pool.decisions("worker-restarted").size());
    }

    /** Guards against the same on a worker that the registry has ceased to list before the take-over. */
    @Test
    void newOwnerShowsItsTokenToAWorkerThatOnlyTheStoreNames() {
        PoolWithFakeWorkers pool = new PoolWithFakeWorkers(2, BORN);
        pool.advance(1_000);
        pool.submit(JOB, LASTING);
        pool.advance(1_000);
        String lost = pool.workerOf(JOB + ".0.0.0").orElseThrow();
        pool.lose(lost);
        pool.endLostWorkers();
        pool.replaceOwner();
        pool.advance(LOSS_MILLIS);
        pool.endLostWorkers();
        pool.advance(3_000);
        pool.returnWorker(lost, REBORN);
        pool.advance(200);
        assertEquals(1, pool.decisions("worker-end-disproved").size());
    }

    /** Guards against calls without end, and many at a time, to an address where nothing answers. */
    @Test
    void workerThatIsLostForGoodIsCalledForALimitedTime() {
        PoolWithFakeWorkers pool = new PoolWithFakeWorkers(2, BORN);
        String lost = loseWorkerOfAStart(pool);
        long before = pool.countCalls(lost, WorkerOrder.Hold.class);
        pool.advance(CALL_MILLIS);
        long atATime = pool.countCalls(lost, WorkerOrder.Hold.class) - before;
        assertTrue(atATime >= 6 && atATime <= 8, "calls at a time: " + atATime);
        pool.advance(LATE_ORDER_MILLIS - LOSS_MILLIS - 2 * CALL_MILLIS);
        long calls = pool.countCalls(lost, WorkerOrder.Hold.class) - before;
        assertTrue(calls >= 100 && calls <= 130, "calls: " + calls);
        pool.advance(5_000);
        assertEquals(calls, pool.countCalls(lost, WorkerOrder.Hold.class) - before);
    }

    /** Guards against calls that grow with the number of lost workers. */
    @Test
    void callsToManyLostWorkersAreLimitedInAll() {
        PoolWithFakeWorkers pool = new PoolWithFakeWorkers(21, BORN);
        pool.advance(1_000);
        for (int i = 2; i <= 21; i++) {
            pool.lose("w" + i);
        }
        pool.replaceOwner();
        pool.advance(LOSS_MILLIS);
        pool.endLostWorkers();
        pool.advance(CALL_MILLIS);
        long before = countHolds(pool);
        pool.advance(4 * CALL_MILLIS);
        long calls = countHolds(pool) - before;
        assertTrue(calls >= 60 && calls <= 4 * 32, "calls: " + calls);
    }

    /** Guards against a worker that is never used again, as it counts as ended although it answers. */
    @Test
    void answerOfTheSameIncarnationDisprovesItsEnd() {
        PoolWithFakeWorkers pool = new PoolWithFakeWorkers(2, BORN);
        String lost = loseWorkerOfAStart(pool);
        pool.returnWorker(lost, BORN);
        pool.advance(1_000);
        assertEquals(1, pool.decisions("worker-end-disproved").size());
        assertEquals(0, pool.decisions("worker-restarted").size());
        long holds = pool.countCalls(lost, WorkerOrder.Hold.class);
        pool.advance(CALL_MILLIS);
        assertTrue(pool.countCalls(lost, WorkerOrder.Hold.class) - holds <= 1, "it has returned, and is idle");
    }

    private static long countHolds(PoolWithFakeWorkers pool) {
        long holds = 0;
        for (int i = 2; i <= 21; i++) {
            holds += pool.countCalls("w" + i, WorkerOrder.Hold.class);
        }
        return holds;
    }

    /** Loses the worker to which a start is sent, and returns it once only the registry says that it is gone. */
    private static String loseWorkerOfAStart(PoolWithFakeWorkers pool) {
        // No order of an earlier owner is left.
        pool.advance(LATE_ORDER_MILLIS);
        pool.loseWorkerOfNextStart();
        pool.submit(JOB, LASTING);
        pool.advance(LOSS_MILLIS);
        String lost =
                pool.decisions("start-unanswered").get(0).inputs().get("worker").toString();
        pool.endLostWorkers();
        // The last call that was sent before has failed then.
        pool.advance(CALL_MILLIS);
        return lost;
    }
}
