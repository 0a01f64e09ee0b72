package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.JobSpec;
import org.trefoilpost.decision.job.QueueConfig;
import org.trefoilpost.decision.job.ResourceAmount;
import org.trefoilpost.decision.job.StepSpec;
import org.trefoilpost.decision.job.team.Caller;
import org.trefoilpost.decision.job.team.Teams;

/**
 * Tests of submissions from their arrival to the store.
 */
class SubmissionTest {
    private static final String FORMER_POOL = "former";
    private static final String POOL = "pool";
    private static final long DEADLINE_MILLIS = 9_000;
    private static final long WAIT_MILLIS = 5_000;

    private final LimitedKeyStore store = new LimitedKeyStore();
    private final TestService service =
            new TestService(store, new IdleWorkers(), null, new OneWorkerFormats(FORMER_POOL));
    private final Map<String, PoolRunner> runners = new HashMap<>();
    private final ConfigurationStatus status = new ConfigurationStatus(service.context());
    private final OwnerCalls ownerCalls = new OwnerCalls(
            service.context(), new LiveEntries(), null, pool -> Optional.ofNullable(runners.get(pool)), () -> true);
    private final JobRequestRouter router = new JobRequestRouter(service.context(), ownerCalls, status);

    @BeforeEach
    void open() {
        store.put("servers/w", "registered");
        WorkerRegistry registry = new WorkerRegistry(service.context(), () -> 0, () -> {});
        service.run(registry::start);
        openPool(FORMER_POOL, registry);
        openPool(POOL, registry);
        service.run(() -> router.configure(configuration(1, FORMER_POOL)));
    }

    @AfterEach
    void stop() {
        service.close();
    }

    /** Guards against a job that is said to be accepted because its queue's former owner waits to store it, and is lost. */
    @Test
    void submissionIsNotConfirmedByAFormerOwnerThatHasNotStoredTheJob() {
        store.silent(true);
        submit("0000000000000001");
        tick();
        CompletableFuture<JobReply> first = submit("0000000000000002");
        tick();
        service.run(() -> router.configure(configuration(2, POOL)));
        CompletableFuture<JobReply> again = submit("0000000000000002");
        tick();
        assertFalse(again.isDone(), () -> "answered with " + again.join());
        tickUntil(first::isDone);
        assertEquals("store-unavailable", first.join().reason());
        storeReturns();
        tickUntil(again::isDone);
        assertEquals(JobReply.of(JobReplyStatus.DONE, "stored"), again.join());
        assertTrue(store.revisionOf(PoolStore.jobKey(POOL, "0000000000000002")) > 0);
    }

    /** Guards against a refusal of a job that a former owner has accepted in an earlier attempt, and stores later. */
    @Test
    void submissionIsUncertainIfAFormerOwnerMayYetStoreTheJob() {
        store.silent(true);
        submit("0000000000000001");
        tick();
        service.run(() -> router.configure(configuration(2, POOL)));
        CompletableFuture<JobReply> again = router.submit(spec("0000000000000001"), Caller.UNIDENTIFIED, 600);
        tickUntil(again::isDone);
        assertEquals(JobReply.of(JobReplyStatus.UNCERTAIN, "owner-silent"), again.join());
        storeReturns();
        tickUntil(() -> store.revisionOf(PoolStore.jobKey(FORMER_POOL, "0000000000000001")) > 0);
    }

    /** Guards against a job that is shown although it is not stored, and may be withdrawn. */
    @Test
    void phaseOfAJobIsReportedWhenItIsStored() {
        store.silent(true);
        submit("0000000000000001");
        tick();
        submit("0000000000000002");
        CompletableFuture<JobReply> phase = phase("0000000000000002");
        tick();
        assertFalse(phase.isDone());
        tickUntil(phase::isDone);
        assertEquals(JobReplyStatus.NO_JOB, phase.join().status());
        storeReturns();
        tickUntil(() -> store.revisionOf(PoolStore.jobKey(FORMER_POOL, "0000000000000001")) > 0);
        CompletableFuture<JobReply> stored = submit("0000000000000003");
        CompletableFuture<JobReply> storedPhase = phase("0000000000000003");
        tickUntil(storedPhase::isDone);
        assertTrue(stored.isDone());
        assertEquals("known", storedPhase.join().reason());
    }

    /** Guards against a job whose key the store does not take, so that its pool stores nothing any more. */
    @Test
    void jobWithANameThatIsNoKeyDoesNotKeepOthersFromBeingStored() {
        submit("\u4e00".repeat(64));
        CompletableFuture<JobReply> other = submit("0000000000000001");
        tickUntil(other::isDone);
        assertEquals(JobReply.of(JobReplyStatus.DONE, "stored"), other.join());
    }

    private void openPool(String pool, WorkerRegistry registry) {
        StorePort.Put owner = new StorePort.Put(LiveEntries.ownerKey(pool), new byte[0], 0);
        StorePort.Put counter = new StorePort.Put(PoolStore.counterKey(pool), new byte[0], 0);
        long token = store.commit(new StorePort.Change(Map.of(), List.of(owner, counter), List.of()))
                .join();
        PoolRunner runner = new PoolRunner(pool, token, service.context(), registry, ConfigurationGuard.NONE, () -> {});
        service.run(() -> runner.start(configuration(1, pool).queues(), Teams.NONE));
        runners.put(pool, runner);
        tickUntil(runner::isOpen);
    }

    private CompletableFuture<JobReply> submit(String job) {
        return router.submit(spec(job), Caller.UNIDENTIFIED, DEADLINE_MILLIS);
    }

    private static JobSpec spec(String job) {
        StepSpec step = StepSpec.builder()
                .tasks(1, new ResourceAmount(1_000, 128, 0))
                .estimateMillis(60_000)
                .build();
        return new JobSpec(job, "q", "text", List.of(step), JobSpec.Schedule.ONCE);
    }

    private CompletableFuture<JobReply> phase(String job) {
        status.confirmed(service.context().now());
        return router.phase("q", job, Caller.UNIDENTIFIED, DEADLINE_MILLIS);
    }

    /** As the job service does, each pool sends the commit again that it may have sent during the silence. */
    private void storeReturns() {
        store.silent(false);
        service.run(() -> runners.values().forEach(PoolRunner::sendCommitAgain));
    }

    private void tick() {
        status.confirmed(service.context().now());
        service.runWithTimers(() -> runners.values().forEach(PoolRunner::tick));
    }

    private void tickUntil(BooleanSupplier condition) {
        long endNanos = System.nanoTime() + WAIT_MILLIS * 1_000_000;
        while (!condition.getAsBoolean() && System.nanoTime() < endNanos) {
            tick();
        }
        assertTrue(condition.getAsBoolean(), "the condition holds in time");
    }

    private static JobConfiguration configuration(long version, String pool) {
        QueueConfig queue = new QueueConfig("q", "host", "/q/", pool, 0, 3, 1, 1_000, Optional.empty(), false);
        return new JobConfiguration(
                version, Map.of("q", queue), Set.of(FORMER_POOL, POOL), Set.of(), 1_000, Teams.NONE);
    }

    /** A store that refuses keys of more than 200 bytes. */
    private static final class LimitedKeyStore extends MemoryStore {
        @Override
        public CompletableFuture<Long> commit(Change change) {
            boolean refused =
                    change.puts().stream().anyMatch(put -> put.key().getBytes(StandardCharsets.UTF_8).length > 200);
            return refused
                    ? CompletableFuture.failedFuture(
                            new StoreFailure(StoreFailure.Kind.REFUSED, "store answered with status 400", List.of()))
                    : super.commit(change);
        }
    }
}
