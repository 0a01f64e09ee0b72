package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against runs on a worker that the registry has ceased to list, of which the next owner does not know. */
class DelistedWorkersTest {
    private static final PoolTimeouts TIMEOUTS = new PoolTimeouts(5_000, 10_000, 120_000, 2_000);
    private static final long NOW = 100_000;

    private final DelistedWorkers workers = new DelistedWorkers(TIMEOUTS, NOW - 60_000);

    @Test
    void workerIsKeptAsLongAsRunsMayGoOn() {
        RegisteredWorker worker = worker("w", "pool");
        workers.removed(worker, NOW);
        assertEquals(List.of(new DelistedWorker(worker, NOW)), workers.ofPool("pool", NOW + 14_000));
        assertEquals(List.of(), workers.ofPool("pool", NOW + 14_500));
        assertTrue(TIMEOUTS.maxForeignLeaseMillis() >= PoolScheduler.ORDERS_WITHOUT_STORE_MILLIS + 5_000 / 0.98);
    }

    @Test
    void workerThatIsListedAgainIsLeftOut() {
        workers.removed(worker("w", "pool"), NOW);
        workers.listed("w");
        assertEquals(List.of(), workers.ofPool("pool", NOW));
    }

    @Test
    void workerOfAnotherPoolIsLeftOut() {
        workers.removed(worker("w", "other"), NOW);
        assertEquals(List.of(), workers.ofPool("pool", NOW));
    }

    @Test
    void storedWorkerCountsFromThenOnWhenItCeasedToBeListed() {
        RegisteredWorker lapsed = worker("lapsed", "pool");
        RegisteredWorker gone = worker("gone", "pool");
        workers.removed(lapsed, NOW);
        assertEquals(List.of(new DelistedWorker(lapsed, NOW)), workers.of(List.of(lapsed, gone), NOW + 1_000));
        assertEquals(List.of(), workers.of(List.of(lapsed, gone), NOW + 14_500));
    }

    /** Guards against an entry that has just started and does not expect runs on workers that it has never seen listed. */
    @Test
    void storedWorkerThatWasNeverSeenCountsFromTheStartOfTheEntry() {
        DelistedWorkers ofNewEntry = new DelistedWorkers(TIMEOUTS, NOW);
        RegisteredWorker worker = worker("w", "pool");
        assertEquals(List.of(new DelistedWorker(worker, NOW)), ofNewEntry.of(List.of(worker), NOW + 1_000));
    }

    private static RegisteredWorker worker(String id, String pool) {
        ResourceAmount capacity = new ResourceAmount(16_000, 16_000, 0);
        return new RegisteredWorker(
                id, "m", pool, WorkerAddress.of("127.0.0.1", 1), "hall", List.of(), capacity, false);
    }
}
