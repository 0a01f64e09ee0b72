package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a wait for leases of earlier owners on a worker that takes no more orders of theirs. */
class FencedLeaseTest {
    private static final long BORN = 1_764_800_000_000L;
    private static final String JOB = "0123456789abcdef";
    private static final String TASK = JOB + ".0.0.0";
    private static final long LEASE_MILLIS = 5_000;
    private static final long MAX_LEASE_MILLIS = 10_000;
    /** Time without a disturbance after which every long-running task has to run. */
    private static final long CALM_MILLIS = 7_000;

    private static final StepSpec LONG_RUNNING = StepSpec.builder()
            .tasks(1, new ResourceAmount(4_000, 8_000, 0))
            .estimateMillis(1_000)
            .longRunning(true)
            .build();

    @ParameterizedTest
    @ValueSource(longs = {0, BORN})
    void taskRunsSoonThoughItsWorkerIsLostAfterItHasAnsweredTheNewOwner(long born) {
        PoolWithFakeWorkers pool = new PoolWithFakeWorkers(2, born);
        pool.advance(20_000);
        pool.lostWorkersAreGone();
        pool.replaceOwner();
        pool.advance(500);
        pool.loseWorkerOfNextStart();
        pool.submit(JOB, LONG_RUNNING);
        pool.advance(CALM_MILLIS);
        assertTrue(pool.workerOf(TASK).isPresent());
    }

    @ParameterizedTest
    @ValueSource(longs = {0, BORN})
    void adoptedTaskRunsElsewhereSoonAfterItsWorkerIsLost(long born) {
        PoolWithFakeWorkers pool = new PoolWithFakeWorkers(2, born);
        pool.submit(JOB, LONG_RUNNING);
        pool.advance(20_000);
        String former = pool.workerOf(TASK).orElseThrow();
        pool.replaceOwner();
        pool.advance(500);
        pool.lostWorkersAreGone();
        pool.lose(former);
        pool.advance(CALM_MILLIS);
        assertNotEquals(Optional.of(former), pool.workerOf(TASK));
        assertTrue(pool.workerOf(TASK).isPresent());
    }

    @Test
    void leaseOfAnEarlierOwnerGoesOnForItsWholeTime() {
        WorkerLease lease = new WorkerLease();
        lease.assumeUntil(114_400);
        lease.fence(100_000, LEASE_MILLIS);
        lease.fence(102_000, LEASE_MILLIS);
        long longest = (long) (LEASE_MILLIS / WorkerLease.MIN_CLOCK_RATE);
        assertTrue(lease.expiryMillis() >= 100_000 + longest + 250, "expiry: " + lease.expiryMillis());
        assertTrue(lease.expiryMillis() < 100_000 + CALM_MILLIS, "expiry: " + lease.expiryMillis());
    }

    @Test
    void leaseOfThePresentOwnerIsNotCutShort() {
        WorkerLease lease = new WorkerLease();
        lease.fence(100_000, LEASE_MILLIS);
        lease.recordClock(1_000, 100_000);
        lease.grant(120_000, LEASE_MILLIS);
        assertTrue(lease.expiryMillis() > 125_000, "expiry: " + lease.expiryMillis());
    }

    @Test
    void restartedWorkerMayTakeOrdersOfEarlierOwnersUntilItAnswers() {
        WorkerLease former = new WorkerLease();
        former.assumeUntil(114_400);
        former.fence(100_000, LEASE_MILLIS);
        WorkerLease lease = new WorkerLease();
        lease.assume(former);
        lease.assumeLateOrders(former, 115_000, MAX_LEASE_MILLIS);
        assertEquals(114_400, lease.expiryMillis());
    }

    /** Guards against a wait of minutes for an order that names a time on the clock of a former incarnation. */
    @Test
    void lateOrderOfAFormerIncarnationExtendsTheLeaseByTheLongestOneAtMost() {
        WorkerLease former = new WorkerLease();
        former.recordClock(400_000, 100_000);
        former.grant(100_000, LEASE_MILLIS);
        WorkerLease lease = new WorkerLease();
        lease.assume(former);
        lease.assumeLateOrders(former, 115_000, MAX_LEASE_MILLIS);
        lease.recordClock(10, 101_000);
        lease.recordClock(4_010, 105_000);
        long longest = (long) (MAX_LEASE_MILLIS / WorkerLease.MIN_CLOCK_RATE);
        assertEquals(115_000 + longest + 250, lease.expiryMillis());
    }
}
