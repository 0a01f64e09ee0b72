package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.GoneReason;
import org.trefoilpost.decision.job.RegisteredWorker;
import org.trefoilpost.decision.job.RegistryAbsences;
import org.trefoilpost.decision.job.ResourceAmount;
import org.trefoilpost.decision.job.WatchTimes;
import org.trefoilpost.decision.job.WorkerAddress;

/** Guards against a worker that may start again under its identifier and is taken for gone, and the other way round. */
class GoneWorkerTest {
    private static final long BORN = 1_764_800_000_000L;

    private final AtomicLong clock = new AtomicLong(1_000_000);
    private final WatchedStore store = new WatchedStore();
    private final TestService service = new TestService(store, null, new NamedWorkerFormats(), clock::get);
    private WorkerRegistry registry;

    @BeforeEach
    void readTheRegistry() {
        registry = new WorkerRegistry(service.context(), () -> 0, () -> {});
        service.run(registry::start);
        StorePort.Item item = entry("w1", "m1", BORN);
        service.run(() -> store.read.complete(new StorePort.Page(List.of(item), false, 10)));
    }

    @AfterEach
    void stop() {
        service.close();
    }

    @Test
    void workerThatIsListedMayStartAgain() {
        confirmFor(RegistryAbsences.REGISTRATION_MILLIS + 1_000);
        assertGone(Optional.empty());
    }

    @Test
    void workerThatIsNoLongerListedIsGoneOnceItHadTheTimeToRegisterAgain() {
        change("servers/w1", Optional.empty());
        confirmFor(RegistryAbsences.REGISTRATION_MILLIS - 500);
        assertGone(Optional.empty());
        confirmFor(1_000);
        assertGone(Optional.of(GoneReason.NOT_REGISTERED));
    }

    /** Guards against entries that lapsed while the store was away. */
    @Test
    void workerWhoseEntryLapsedInASilenceOfTheStoreHasTheTimeToRegisterAgain() {
        change("servers/w1", Optional.empty());
        confirmFor(RegistryAbsences.REGISTRATION_MILLIS + 500);
        assertGone(Optional.of(GoneReason.NOT_REGISTERED));
        service.run(() -> store.lastWatch()
                .completeExceptionally(new StoreFailure(StoreFailure.Kind.UNKNOWN, "no answer", List.of())));
        clock.addAndGet(5_000);
        service.runWithTimers(() -> {});
        confirmFor(500);
        assertGone(Optional.empty());
        confirmFor(RegistryAbsences.REGISTRATION_MILLIS);
        assertGone(Optional.of(GoneReason.NOT_REGISTERED));
    }

    /** Guards against a worker that registers again while the registry is not heard of. */
    @Test
    void absenceDoesNotCountOnceTheRegistryHasNotBeenHeardOfForLong() {
        change("servers/w1", Optional.empty());
        confirmFor(RegistryAbsences.REGISTRATION_MILLIS + 500);
        assertGone(Optional.of(GoneReason.NOT_REGISTERED));
        clock.addAndGet(5_000);
        assertGone(Optional.empty());
    }

    @Test
    void workerWhoseMachineRunsALaterOneIsGone() {
        change("servers/w2", Optional.of(entry("w2", "m1", BORN + 1)));
        assertGone(Optional.of(GoneReason.REPLACED));
    }

    @Test
    void anotherMachineOrAnEarlierWorkerDoesNotReplaceIt() {
        change("servers/w2", Optional.of(entry("w2", "m2", BORN + 1)));
        change("servers/w3", Optional.of(entry("w3", "m1", BORN - 1)));
        change("servers/w4", Optional.of(entry("w4", "m1", 0)));
        assertGone(Optional.empty());
    }

    /** Guards against a new owner that does not know of a worker whose entry has lapsed just before (review case 12). */
    @Test
    void workerThatIsNoLongerListedIsNamedToTheNextOwner() {
        assertDelisted(List.of());
        change("servers/w1", Optional.empty());
        confirmFor(3_000);
        assertDelisted(List.of("w1"));
        change("servers/w1", Optional.of(entry("w1", "m1", BORN)));
        assertDelisted(List.of());
    }

    /** Guards against the same if the entry has lapsed since the registry was last watched. */
    @Test
    void workerThatIsMissingAsTheRegistryIsReadAgainIsNamedToTheNextOwner() {
        store.read = CompletableFuture.completedFuture(new StorePort.Page(List.of(), false, 12));
        service.run(() -> registry.refresh(() -> {}));
        assertDelisted(List.of("w1"));
    }

    private void assertDelisted(List<String> workers) {
        List<String> found = new ArrayList<>();
        service.run(() -> registry.delistedWorkers("pool", Optional.empty())
                .forEach(worker -> found.add(worker.registration().id())));
        assertEquals(workers, found);
    }

    private void assertGone(Optional<GoneReason> reason) {
        List<Optional<GoneReason>> found = new ArrayList<>();
        service.run(() -> found.add(registry.goneReason(worker("w1", "m1", BORN))));
        assertEquals(List.of(reason), found);
    }

    private void change(String key, Optional<StorePort.Item> item) {
        CompletableFuture<StorePort.Changes> watch = store.lastWatch();
        service.run(() -> watch.complete(new StorePort.Changes(List.of(Map.entry(key, item)), 11)));
        service.runWithTimers(() -> {});
    }

    /** Lets the store confirm that there are no changes, each half a second. */
    private void confirmFor(long millis) {
        for (long passed = 0; passed < millis; passed += 500) {
            clock.addAndGet(500);
            CompletableFuture<StorePort.Changes> watch = store.lastWatch();
            service.run(() -> watch.complete(new StorePort.Changes(List.of(), 11)));
            service.runWithTimers(() -> {});
        }
    }

    private static StorePort.Item entry(String worker, String machine, long born) {
        byte[] value = (machine + ' ' + born).getBytes(StandardCharsets.UTF_8);
        return new StorePort.Item("servers/" + worker, value, 10, 0);
    }

    private static RegisteredWorker worker(String id, String machine, long born) {
        ResourceAmount capacity = new ResourceAmount(16_000, 16_000, 0);
        return new RegisteredWorker(
                id, machine, "pool", WorkerAddress.of("127.0.0.1", 1), "hall", List.of(), capacity, false, born);
    }

    /** Formats in which an entry holds the machine of a worker and when it was born. */
    private static final class NamedWorkerFormats extends UnusedFormats {
        @Override
        public Optional<RegisteredWorker> worker(StorePort.Item item) {
            String[] fields = new String(item.value(), StandardCharsets.UTF_8).split(" ");
            String id = item.key().substring(workerPrefix().length());
            return Optional.of(GoneWorkerTest.worker(id, fields[0], Long.parseLong(fields[1])));
        }
    }

    /** A store whose reads and watches the test answers. */
    private static final class WatchedStore extends MemoryStore {
        private CompletableFuture<Page> read = new CompletableFuture<>();
        private final List<CompletableFuture<Changes>> watches = new ArrayList<>();

        private CompletableFuture<Changes> lastWatch() {
            return watches.get(watches.size() - 1);
        }

        @Override
        public CompletableFuture<Page> range(String prefix, String after) {
            return read;
        }

        @Override
        public CompletableFuture<Changes> watch(String prefix, long afterRevision, WatchTimes times) {
            CompletableFuture<Changes> changes = new CompletableFuture<>();
            watches.add(changes);
            return changes;
        }
    }
}
