package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.RegisteredWorker;
import org.trefoilpost.decision.job.ResourceAmount;
import org.trefoilpost.decision.job.WorkerAddress;

class StoredWorkersTest {
    private static final String POOL = "pool";

    @Test
    void workersAreDecodedAsTheyWereEncoded() {
        List<RegisteredWorker> workers = List.of(worker("w1", 1_764_800_000_000L), worker("w2", 0));
        assertEquals(workers, decode(StoredWorkers.encode(workers)));
    }

    @Test
    void noWorkersAreDecodedAsNone() {
        assertEquals(List.of(), decode(StoredWorkers.encode(List.of())));
    }

    /** Guards against a write of the workers' key with each commit, though the workers are the same. */
    @Test
    void orderDoesNotChangeTheStoredForm() {
        RegisteredWorker first = worker("w1", 1);
        RegisteredWorker second = worker("w2", 2);
        assertEquals(StoredWorkers.encode(List.of(first, second)), StoredWorkers.encode(List.of(second, first)));
    }

    /** Guards against a pool that cannot be loaded since one line of its workers cannot be read. */
    @Test
    void linesThatCannotBeReadAreLeftOut() {
        String stored = String.join(
                "\n",
                "w1\t127.0.0.1:80\tm-w1",
                "w1\t127.0.0.1:80\tm-w1\tsoon",
                "w1\tnowhere\tm-w1\t1",
                StoredWorkers.encode(List.of(worker("w2", 2))),
                "");
        assertEquals(List.of(worker("w2", 2)), decode(stored));
    }

    private static List<RegisteredWorker> decode(String stored) {
        return StoredWorkers.decode(stored, POOL);
    }

    /**
     * Returns a worker as it is decoded, without labels and resources.
     */
    static RegisteredWorker worker(String id, long born) {
        return new RegisteredWorker(
                id,
                "m-" + id,
                POOL,
                WorkerAddress.of("127.0.0.1", 80),
                "",
                List.of(),
                ResourceAmount.NONE,
                false,
                born);
    }
}
