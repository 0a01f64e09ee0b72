package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.Commit;

class PoolStoreTest {
    private static final String POOL = "pool";
    private static final String JOB = "job";
    private static final int REPETITIONS = 5;
    private static final long REFUSING_MILLIS = 600;
    private static final long RETRY_MILLIS = 120;
    /** The maximum number of conditions, writes and removals that the platform's store accepts in one change. */
    private static final int MAX_ENTRIES = 32;

    /**
     * Plays a store that refuses the commits of an owner which is told repeatedly that the store may have returned. Guards
     * against a series of retries for each repetition, which multiplied the calls to a store that was down.
     */
    @Test
    void repeatedCommitIsRetriedInOneSeries() throws InterruptedException {
        RefusingStore store = new RefusingStore();
        try (TestService service = new TestService(store, null, null, new UnusedFormats())) {
            PoolStore poolStore = new PoolStore(POOL, 1, service.context());
            commit(service, poolStore, written(1, "q"));
            for (int i = 0; i < REPETITIONS; i++) {
                service.run(poolStore::sendAgain);
            }
            Thread.sleep(REFUSING_MILLIS);
            int maxCalls = 1 + REPETITIONS + (int) (REFUSING_MILLIS / RETRY_MILLIS) + 1;
            assertTrue(store.calls.get() <= maxCalls, "calls: " + store.calls);
        }
    }

    /** Guards against queues that are not stored together with their jobs, or remain stored after them. */
    @Test
    void queuesAreStoredAndRemovedWithTheirJobs() {
        MemoryStore store = new MemoryStore();
        String key = LiveEntries.queuesKey(POOL);
        try (TestService service = new TestService(store, null, null, new UnusedFormats())) {
            PoolStore first = claim(store, service);
            commit(service, first, written(1, "q"));
            assertEquals("q", store.text(key));
            long revision = store.revisionOf(key);
            commit(service, first, written(2, "q"));
            assertEquals(revision, store.revisionOf(key), "unchanged queues are not written again");
            commit(service, first, written(3, "q", "r"));
            assertEquals("q\nr", store.text(key));
            PoolStore next = claim(store, service);
            commit(service, first, written(4, "s"));
            assertEquals("q\nr", store.text(key), "a former owner changes nothing");
            commit(service, next, new Commit(1, Map.of(), List.of(JOB), Set.of()));
            assertEquals("", store.text(key));
            assertEquals("", store.text(PoolStore.jobKey(POOL, JOB)));
        }
    }

    /** Guards against a change that the platform's store refuses because it is too large. */
    @Test
    void changeOfAllDocumentsAndTheQueuesIsNotTooLarge() {
        CountingStore store = new CountingStore();
        try (TestService service = new TestService(store, null, null, new UnusedFormats())) {
            Map<String, byte[]> documents = new HashMap<>();
            for (int i = 0; i < Commit.MAX_DOCUMENTS; i++) {
                documents.put(JOB + i, new byte[] {1});
            }
            commit(service, claim(store, service), new Commit(1, documents, List.of(), Set.of("q")));
            assertEquals("q", store.text(LiveEntries.queuesKey(POOL)));
            assertTrue(store.maxEntries <= MAX_ENTRIES, "entries: " + store.maxEntries);
        }
    }

    private static PoolStore claim(MemoryStore store, TestService service) {
        StorePort.Put owner = new StorePort.Put(LiveEntries.ownerKey(POOL), new byte[0], 0);
        StorePort.Put counter = new StorePort.Put(PoolStore.counterKey(POOL), new byte[0], 0);
        StorePort.Change claim = new StorePort.Change(Map.of(), List.of(owner, counter), List.of());
        return new PoolStore(POOL, store.commit(claim).join(), service.context());
    }

    private static Commit written(long number, String... queues) {
        return new Commit(number, Map.of(JOB, new byte[] {1}), List.of(), Set.of(queues));
    }

    private static void commit(TestService service, PoolStore store, Commit commit) {
        service.run(() -> store.commit(commit, 0, (stored, confirmed) -> {}, () -> false, reason -> {}));
    }

    private static final class CountingStore extends MemoryStore {
        private int maxEntries;

        @Override
        public CompletableFuture<Long> commit(Change change) {
            int entries = change.expected().size()
                    + change.puts().size()
                    + change.removedKeys().size();
            maxEntries = Math.max(maxEntries, entries);
            return super.commit(change);
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
