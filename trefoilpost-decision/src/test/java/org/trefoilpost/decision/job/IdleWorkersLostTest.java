package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a long-running task that does not run for long, as each of its starts falls on a worker that is lost. */
class IdleWorkersLostTest {
    private static final long BORN = 1_764_800_000_000L;
    private static final String JOB = "0123456789abcdef";
    private static final String TASK = JOB + ".0.0.0";
    private static final String OTHER_JOB = "1123456789abcdef";
    /** The longest time for which a task may wait beside room. */
    private static final long MAX_WAIT_MILLIS = 3_000;
    /** Time without a disturbance after which every long-running task has to run. */
    private static final long CALM_MILLIS = 7_000;

    private static final StepSpec LONG_RUNNING = StepSpec.builder()
            .tasks(1, new ResourceAmount(4_000, 8_000, 0))
            .estimateMillis(1_000)
            .longRunning(true)
            .build();

    @ParameterizedTest
    @CsvSource({"1,0", "2,0", "3,0", "1," + BORN, "2," + BORN, "3," + BORN})
    void taskStartsWithoutDelayBesideIdleWorkersThatWereLost(int lost, long born) {
        for (int survivor = 1; survivor <= lost + 1; survivor++) {
            PoolWithFakeWorkers pool = new PoolWithFakeWorkers(lost + 1, born);
            pool.advance(20_000);
            loseAllBut(survivor, lost + 1, pool);
            pool.advance(3_000);
            pool.submit(JOB, LONG_RUNNING);
            pool.advance(MAX_WAIT_MILLIS);
            assertEquals(Optional.of("w" + survivor), pool.workerOf(TASK));
        }
    }

    @Test
    void taskIsNotStoppedForAWorkerThatIsLost() {
        PoolWithFakeWorkers pool = new PoolWithFakeWorkers(2, 0);
        pool.submit(JOB, LONG_RUNNING);
        pool.advance(20_000);
        String worker = pool.workerOf(TASK).orElseThrow();
        pool.lose(worker.equals("w1") ? "w2" : "w1");
        pool.advance(3_000);
        pool.evacuate(worker);
        pool.advance(2_000);
        assertEquals(Optional.of(worker), pool.workerOf(TASK));
        assertEquals(0, pool.decisions("run-evacuated").size());
    }

    /** Guards against the stop of a second task before the first one has taken the only room. */
    @Test
    void roomOfOneWorkerIsCountedOnForOneTaskOnly() {
        PoolWithFakeWorkers pool = new PoolWithFakeWorkers(3, 0);
        pool.submit(JOB, LONG_RUNNING);
        pool.submit(OTHER_JOB, LONG_RUNNING);
        pool.advance(20_000);
        List<String> used = List.of(
                pool.workerOf(TASK).orElseThrow(),
                pool.workerOf(OTHER_JOB + ".0.0.0").orElseThrow());
        pool.evacuate(used.toArray(String[]::new));
        pool.advance(2_000);
        assertEquals(1, pool.decisions("run-evacuated").size());
        assertTrue(pool.workerOf(TASK).isPresent());
        assertTrue(pool.workerOf(OTHER_JOB + ".0.0.0").isPresent());
    }

    /** Guards against evacuations that do not end, as the room is kept for tasks that wait for something else. */
    @Test
    void roomIsNotKeptForTasksThatCannotStart() {
        PoolWithFakeWorkers pool = new PoolWithFakeWorkers(2, 0);
        pool.submit(JOB, LONG_RUNNING);
        pool.advance(20_000);
        pool.submit(OTHER_JOB, PoolWithFakeWorkers.ADVISED_QUEUE, LONG_RUNNING);
        pool.advance(1_000);
        String worker = pool.workerOf(TASK).orElseThrow();
        pool.evacuate(worker);
        pool.advance(2_000);
        assertNotEquals(Optional.of(worker), pool.workerOf(TASK));
        assertTrue(pool.workerOf(TASK).isPresent());
    }

    /** Guards against tasks that are placed by who has answered last in place of where they run best. */
    @Test
    void idleWorkerOfThePreferredRackIsAskedBeforeAnotherIsUsed() {
        PoolWithFakeWorkers pool = new PoolWithFakeWorkers(3, 0);
        pool.submit(JOB, small("r1"));
        pool.advance(20_000);
        assertEquals(Optional.of("w1"), pool.workerOf(TASK));
        pool.submit(OTHER_JOB, small("r3"));
        pool.advance(1_000);
        assertEquals(Optional.of("w3"), pool.workerOf(OTHER_JOB + ".0.0.0"));
    }

    /** Guards against starts that go to a failing worker again and again, as the others have not been asked lately. */
    @Test
    void suspectedWorkerIsNotUsedBesideIdleOnes() {
        PoolWithFakeWorkers pool = new PoolWithFakeWorkers(4, 0);
        pool.submit(JOB, small(""));
        pool.advance(20_000);
        String failing = pool.workerOf(TASK).orElseThrow();
        pool.failAllOn(failing);
        pool.submit(
                OTHER_JOB,
                StepSpec.builder()
                        .tasks(2, new ResourceAmount(500, 500, 0))
                        .estimateMillis(500)
                        .build());
        pool.advance(8_000);
        assertNotEquals(0, pool.decisions("worker-suspected").size());
        long starts = pool.countCalls(failing, WorkerOrder.Start.class);
        pool.submit("2123456789abcdef", small(""));
        pool.advance(2_000);
        assertEquals(starts, pool.countCalls(failing, WorkerOrder.Start.class));
        assertTrue(pool.workerOf("2123456789abcdef.0.0.0").isPresent());
    }

    /** Guards against a new owner that takes a worker which has answered it for one that may hold a lease of its predecessor. */
    @ParameterizedTest
    @ValueSource(longs = {1_000, 5_000})
    void startThatIsLostSoonAfterAChangeOfTheOwnerHoldsItsTaskNoLongerThanUsual(long ownerMillis) {
        PoolWithFakeWorkers pool = new PoolWithFakeWorkers(2, 0);
        pool.advance(20_000);
        pool.replaceOwner();
        pool.advance(ownerMillis);
        pool.loseWorkerOfNextStart();
        pool.submit(JOB, LONG_RUNNING);
        pool.advance(CALM_MILLIS);
        assertTrue(pool.workerOf(TASK).isPresent());
    }

    /** Guards against a new owner that waits for its predecessor's orders from its own beginning. */
    @ParameterizedTest
    @ValueSource(longs = {0, BORN})
    void taskRunsSoonAfterAChangeOfTheOwnerThoughItsWorkerWasLostAtItsStart(long born) {
        PoolWithFakeWorkers pool = new PoolWithFakeWorkers(2, born);
        pool.advance(20_000);
        pool.loseWorkerOfNextStart();
        pool.submit(JOB, LONG_RUNNING);
        pool.advance(3_000);
        pool.lostWorkersAreGone();
        pool.replaceOwner();
        pool.advance(CALM_MILLIS);
        assertTrue(pool.workerOf(TASK).isPresent());
    }

    private static StepSpec small(String rack) {
        return StepSpec.builder()
                .tasks(1, new ResourceAmount(500, 500, 0))
                .estimateMillis(1_000)
                .longRunning(true)
                .placement("", rack, 0)
                .build();
    }

    private static void loseAllBut(int survivor, int workers, PoolWithFakeWorkers pool) {
        for (int i = 1; i <= workers; i++) {
            if (i != survivor) {
                pool.lose("w" + i);
            }
        }
    }
}
