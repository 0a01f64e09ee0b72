package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.Commit;

/**
 * Plays a store that refuses the commits of an owner which is told repeatedly that the store may have returned.
 */
class PoolStoreTest {
    private static final int REPETITIONS = 5;
    private static final long REFUSING_MILLIS = 600;
    private static final long RETRY_MILLIS = 120;

    /** Guards against a series of retries for each repetition, which multiplied the calls to a store that was down. */
    @Test
    void repeatedCommitIsRetriedInOneSeries() throws InterruptedException {
        RefusingStore store = new RefusingStore();
        try (TestService service = new TestService(store, null, null, new UnusedFormats())) {
            PoolStore poolStore = new PoolStore("pool", 1, service.context());
            Commit commit = new Commit(1, Map.of("job", new byte[0]), List.of());
            service.run(() -> poolStore.commit(commit, 0, (stored, confirmed) -> {}, () -> false, reason -> {}));
            for (int i = 0; i < REPETITIONS; i++) {
                service.run(poolStore::sendAgain);
            }
            Thread.sleep(REFUSING_MILLIS);
            int maxCalls = 1 + REPETITIONS + (int) (REFUSING_MILLIS / RETRY_MILLIS) + 1;
            assertTrue(store.calls.get() <= maxCalls, "calls: " + store.calls);
        }
    }

    private static final class RefusingStore extends MemoryStore {
        private final AtomicInteger calls = new AtomicInteger();

        @Override
        public CompletableFuture<Long> commit(Change change) {
            calls.incrementAndGet();
            return CompletableFuture.failedFuture(new StoreFailure(StoreFailure.Kind.REFUSED, "busy", List.of()));
        }
    }
}
