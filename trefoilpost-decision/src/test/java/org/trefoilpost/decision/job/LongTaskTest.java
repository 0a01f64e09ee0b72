package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Runs tasks whose progress changes seldom, or not at all.
 */
class LongTaskTest {
    private static final String JOB = "0123456789abcdef";
    private static final String TASK = JOB + ".0.0.0";
    private static final ResourceAmount DEMAND = new ResourceAmount(1_000, 1_000, 0);

    private final PoolWithFakeWorkers pool = new PoolWithFakeWorkers(4, 0);

    /** Guards against a task of 300 s that is taken for stalled after each start, and can never end. */
    @Test
    void taskThatTakesThreeSecondsForEachPercentGoesOn() {
        submit(3_000);
        pool.advance(40_000);
        assertTrue(pool.workerOf(TASK).isPresent());
        assertEquals(2, starts());
    }

    /** Guards against a slow task that is started again and again as its former runs do not count. */
    @Test
    void taskThatTakesTwentySecondsForEachPercentGoesOn() {
        submit(20_000);
        pool.advance(200_000);
        assertTrue(pool.workerOf(TASK).isPresent());
        assertEquals(5, starts());
    }

    /** Guards against workers without work because a slow task was stopped on each of them. */
    @Test
    void slowTaskIsHeldAgainstOneWorkerOnly() {
        submit(20_000);
        pool.advance(30_000);
        assertEquals(1, pool.decisions("worker-suspected").size());
    }

    /** Guards against a long task that begins anew because the pool got a new owner. */
    @Test
    void nextOwnerLetsALongTaskGoOn() {
        submit(3_000);
        pool.advance(20_000);
        pool.replaceOwner();
        pool.advance(40_000);
        assertEquals(2, starts());
    }

    /** Guards against a task that is never moved from a worker on which it stands still. */
    @Test
    void taskWithoutAnyProgressIsStoppedEverMoreSeldom() {
        submit(Long.MAX_VALUE);
        pool.advance(60_000);
        assertEquals(5, starts());
    }

    private void submit(long millisPerPercent) {
        pool.slowTasks(millisPerPercent);
        pool.submit(
                JOB, StepSpec.builder().tasks(1, DEMAND).estimateMillis(46_000).build());
        pool.advance(1_000);
    }

    private long starts() {
        long starts = 0;
        for (int i = 1; i <= 4; i++) {
            starts += pool.countCalls("w" + i, WorkerOrder.Start.class);
        }
        return starts;
    }
}
