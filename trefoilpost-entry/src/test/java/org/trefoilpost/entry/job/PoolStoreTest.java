package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.Commit;
import org.trefoilpost.decision.job.RegisteredWorker;

class PoolStoreTest {
    private static final String POOL = "pool";
    private static final String JOB = "job";
    private static final int REPETITIONS = 5;
    private static final long REFUSING_MILLIS = 600;
    private static final long RETRY_MILLIS = 120;
    /** The maximum number of conditions, writes and removals that the platform's store accepts in one change. */
    private static final int MAX_ENTRIES = 32;

    private static final String CONFIGURATION_KEY = "op/config";

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
            commit(service, next, new Commit(1, Map.of(), List.of(JOB), Set.of(), false, List.of()));
            assertEquals("", store.text(key));
            assertEquals("", store.text(PoolStore.jobKey(POOL, JOB)));
        }
    }

    /** Guards against a next owner that does not know of a worker whose entry has lapsed (review case 12). */
    @Test
    void workersAreStoredAndReadByTheNextOwner() {
        MemoryStore store = new MemoryStore();
        String key = PoolStore.workersKey(POOL);
        try (TestService service = new TestService(store, null, null, new UnusedFormats())) {
            PoolStore first = claim(store, service);
            assertEquals(Optional.empty(), load(service, first));
            commit(service, first, naming(1, "w1", "w2"));
            long revision = store.revisionOf(key);
            commit(service, first, naming(2, "w2", "w1"));
            assertEquals(revision, store.revisionOf(key), "unchanged workers are not written again");
            assertEquals(Optional.of(List.of(worker("w1"), worker("w2"))), load(service, claim(store, service)));
        }
    }

    private static Optional<List<RegisteredWorker>> load(TestService service, PoolStore poolStore) {
        CompletableFuture<Boolean> loaded = new CompletableFuture<>();
        service.run(() ->
                poolStore.load(page -> {}, () -> loaded.complete(true), loaded::completeExceptionally, () -> false));
        loaded.join();
        return poolStore.loadedWorkers();
    }

    private static Commit naming(long number, String... workers) {
        List<RegisteredWorker> named =
                Stream.of(workers).map(PoolStoreTest::worker).toList();
        return new Commit(number, Map.of(JOB, new byte[] {1}), List.of(), Set.of("q"), true, named);
    }

    private static RegisteredWorker worker(String id) {
        return StoredWorkersTest.worker(id, 1_764_800_000_000L);
    }

    /** Guards against a take-over that holds the documents of all jobs of a large pool beside the jobs themselves. */
    @Test
    void documentsArePassedOnPageByPage() {
        MemoryStore store = new MemoryStore();
        for (int i = 0; i < 5; i++) {
            store.put(PoolStore.jobKey(POOL, "job" + i), "document");
        }
        store.pageSize(2);
        List<Set<String>> pages = new ArrayList<>();
        try (TestService service = new TestService(store, null, null, new UnusedFormats())) {
            PoolStore poolStore = new PoolStore(POOL, 1, service.context());
            CompletableFuture<Boolean> loaded = new CompletableFuture<>();
            service.run(() -> poolStore.load(
                    page -> pages.add(Set.copyOf(page.keySet())),
                    () -> loaded.complete(true),
                    loaded::completeExceptionally,
                    () -> false));
            loaded.join();
        }
        assertEquals(List.of(Set.of("job0", "job1"), Set.of("job2", "job3"), Set.of("job4")), pages);
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
            commit(
                    service,
                    claim(store, service),
                    new Commit(1, documents, List.of(), Set.of("q"), true, List.of(worker("w"))));
            assertEquals("q", store.text(LiveEntries.queuesKey(POOL)));
            assertTrue(store.maxEntries <= MAX_ENTRIES, "entries: " + store.maxEntries);
        }
    }

    /** Guards against a job that is accepted by a configuration that is no longer the newest one. */
    @Test
    void commitIsRejectedForGoodIfTheConfigurationHasChanged() {
        MemoryStore store = new MemoryStore();
        store.put(CONFIGURATION_KEY, "1");
        long known = store.revisionOf(CONFIGURATION_KEY);
        try (TestService service = new TestService(store, null, null, new UnusedFormats())) {
            PoolStore poolStore = claim(store, service);
            store.put(CONFIGURATION_KEY, "2");
            RecordedOutcome outdated = new RecordedOutcome();
            service.run(() -> poolStore.commit(written(1, "q"), Map.of(CONFIGURATION_KEY, known), 0, outdated));
            assertEquals(List.of("rejected 1 by 2"), outdated.events());
            assertEquals("", store.text(PoolStore.jobKey(POOL, JOB)));
            service.run(poolStore::sendAgain);
            assertEquals("", store.text(PoolStore.jobKey(POOL, JOB)));
            RecordedOutcome next = new RecordedOutcome();
            long newest = store.revisionOf(CONFIGURATION_KEY);
            service.run(() -> poolStore.commit(written(2, "q"), Map.of(CONFIGURATION_KEY, newest), 0, next));
            assertEquals(List.of("committed 2"), next.events());
        }
    }

    /** Guards against a stored job that is taken for a rejected one because the answer to its commit was lost. */
    @Test
    void commitThatWasStoredBeforeTheConfigurationChangedIsNotRejected() {
        MemoryStore store = new MemoryStore();
        store.put(CONFIGURATION_KEY, "1");
        long known = store.revisionOf(CONFIGURATION_KEY);
        try (TestService service = new TestService(store, null, null, new UnusedFormats())) {
            PoolStore poolStore = claim(store, service);
            store.loseNextAnswer();
            RecordedOutcome outcome = new RecordedOutcome();
            service.run(() -> poolStore.commit(written(1, "q"), Map.of(CONFIGURATION_KEY, known), 0, outcome));
            store.put(CONFIGURATION_KEY, "2");
            service.run(poolStore::sendAgain);
            assertEquals(List.of("committed 1"), outcome.events());
        }
    }

    private static PoolStore claim(MemoryStore store, TestService service) {
        return new PoolStore(POOL, store.claim(POOL, 0), service.context());
    }

    private static Commit written(long number, String... queues) {
        return new Commit(number, Map.of(JOB, new byte[] {1}), List.of(), Set.of(queues), true, List.of());
    }

    private static void commit(TestService service, PoolStore store, Commit commit) {
        service.run(() -> store.commit(commit, Map.of(CONFIGURATION_KEY, 0L), 0, new RecordedOutcome()));
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
