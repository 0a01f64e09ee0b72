package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
import org.trefoilpost.decision.job.JobPhase;
import org.trefoilpost.decision.job.JobSpec;
import org.trefoilpost.decision.job.QueueConfig;
import org.trefoilpost.decision.job.ResourceAmount;
import org.trefoilpost.decision.job.StepSpec;
import org.trefoilpost.decision.job.team.Caller;
import org.trefoilpost.decision.job.team.Teams;

/** Guards against an accepted job that is unknown at its address, and accepted again, once another queue has that address. */
class ReplacedQueueTest {
    private static final String FORMER_POOL = "former";
    private static final String POOL = "pool";
    private static final String JOB = "0000000000000001";
    /** A job in the pool that has no workers. */
    private static final String WAITING_JOB = "0000000000000002";

    private static final long DEADLINE_MILLIS = 3_000;
    private static final long WAIT_MILLIS = 5_000;

    private final MemoryStore store = new MemoryStore();
    private final TestService service =
            new TestService(store, new IdleWorkers(), null, new OneWorkerFormats(FORMER_POOL));
    private final Map<String, PoolRunner> runners = new HashMap<>();
    private final ConfigurationStatus status = new ConfigurationStatus(service.context());
    private final WorkerRegistry registry = new WorkerRegistry(service.context(), () -> 0, () -> {});
    private final JobRequestRouter router = newRouter(new LiveEntries());

    @BeforeEach
    void acceptAJob() {
        store.put("servers/w", "registered");
        service.run(registry::start);
        openPool(FORMER_POOL, queue("q", FORMER_POOL));
        openPool(POOL, queue("q", FORMER_POOL));
        configure(router, configuration(1, queue("q", FORMER_POOL)));
        assertEquals(
                JobReplyStatus.DONE,
                await(router.submit(spec("q"), Caller.UNIDENTIFIED, DEADLINE_MILLIS))
                        .status());
    }

    @AfterEach
    void stop() {
        service.close();
    }

    @Test
    void jobIsKnownAtItsAddressAfterAnotherQueueHasTakenIt() {
        configure(router, configuration(2, queue("renamed", POOL)));
        assertKnown(router, "renamed");
    }

    @Test
    void jobIsKnownToAnEntryThatStartsAfterTheChange() {
        configure(router, configuration(2, queue("renamed", POOL)));
        JobRequestRouter started = newRouter(storedEntries());
        configure(started, configuration(2, queue("renamed", POOL)));
        assertKnown(started, "renamed");
    }

    /** The next owner has to keep the addresses that the queues of its jobs have had. */
    @Test
    void jobIsKnownToAnEntryThatStartsAfterItsPoolWasTakenOver() {
        configure(router, configuration(2, queue("renamed", POOL)));
        runners.get(FORMER_POOL).close();
        openPool(FORMER_POOL, queue("renamed", POOL));
        await(runners.get(FORMER_POOL).requests().cancel(JOB));
        JobRequestRouter started = newRouter(storedEntries());
        configure(started, configuration(2, queue("renamed", POOL)));
        assertKnown(started, "renamed");
    }

    @Test
    void jobIsKnownAfterItsQueueWasRemovedAndHasComeBackInAnotherPool() {
        configure(router, configuration(2));
        configure(router, configuration(3, queue("q", POOL)));
        assertKnown(router, "q");
    }

    @Test
    void waitingJobsAreCountedInThePoolThatTheQueueHasLeftAndAtItsAddress() {
        configure(router, configuration(2, queue("q", POOL)));
        await(router.submit(spec("q", WAITING_JOB), Caller.UNIDENTIFIED, DEADLINE_MILLIS));
        configure(router, configuration(3, queue("q", FORMER_POOL)));
        assertEquals(1, queuedJobs("q"), "the queue has moved");
        configure(router, configuration(4, queue("renamed", FORMER_POOL)));
        Map<String, QueueConfig> renamed = Map.of("renamed", queue("renamed", FORMER_POOL));
        service.run(() -> runners.get(POOL).configure(renamed, Teams.NONE));
        assertEquals(1, queuedJobs("renamed"), "another queue has its address");
    }

    private int queuedJobs(String queue) {
        status.confirmed(service.context().now());
        return await(router.queuedJobs(queue, DEADLINE_MILLIS)).queuedJobs();
    }

    private void assertKnown(JobRequestRouter asked, String queue) {
        status.confirmed(service.context().now());
        assertTrue(await(asked.phase(queue, JOB, Caller.UNIDENTIFIED, DEADLINE_MILLIS))
                .phase()
                .isPresent());
        assertEquals(
                JobReply.of(JobReplyStatus.DONE, "known"),
                await(asked.submit(spec(queue), Caller.UNIDENTIFIED, DEADLINE_MILLIS)));
        assertEquals(
                JobReplyStatus.DONE,
                await(asked.cancel(queue, JOB, Caller.UNIDENTIFIED, DEADLINE_MILLIS))
                        .status());
        assertEquals(
                Optional.of(JobPhase.CANCELLED),
                await(asked.phase(queue, JOB, Caller.UNIDENTIFIED, DEADLINE_MILLIS))
                        .phase());
        assertEquals(
                List.of(PoolStore.jobKey(FORMER_POOL, JOB)),
                store.range("trefoilpost/job/", "").join().items().stream()
                        .map(StorePort.Item::key)
                        .toList());
    }

    private JobRequestRouter newRouter(LiveEntries liveEntries) {
        OwnerCalls ownerCalls = new OwnerCalls(
                service.context(), liveEntries, null, pool -> Optional.ofNullable(runners.get(pool)), () -> true);
        return new JobRequestRouter(service.context(), ownerCalls, status);
    }

    private LiveEntries storedEntries() {
        LiveEntries stored = new LiveEntries();
        stored.replace(
                store.range(LiveEntries.KEY_PREFIX, "").join().items(),
                service.context().now().steadyMillis());
        return stored;
    }

    private void openPool(String pool, QueueConfig queue) {
        StorePort.Put owner = new StorePort.Put(LiveEntries.ownerKey(pool), new byte[0], 0);
        StorePort.Put counter = new StorePort.Put(PoolStore.counterKey(pool), new byte[0], 0);
        long token = store.commit(new StorePort.Change(Map.of(), List.of(owner, counter), List.of()))
                .join();
        PoolRunner runner = new PoolRunner(pool, token, service.context(), registry, ConfigurationGuard.NONE, () -> {});
        runners.put(pool, runner);
        service.run(() ->
                runner.start(Map.of("q", queue("q", FORMER_POOL), "renamed", queue("renamed", POOL)), Teams.NONE));
        tickUntil(runner::isOpen);
    }

    private void configure(JobRequestRouter configured, JobConfiguration configuration) {
        service.run(() -> configured.configure(configuration));
    }

    private JobReply await(CompletableFuture<JobReply> reply) {
        tickUntil(reply::isDone);
        return reply.join();
    }

    private void tickUntil(BooleanSupplier condition) {
        long endNanos = System.nanoTime() + WAIT_MILLIS * 1_000_000;
        while (!condition.getAsBoolean() && System.nanoTime() < endNanos) {
            service.runWithTimers(() -> runners.values().forEach(PoolRunner::tick));
        }
        assertTrue(condition.getAsBoolean(), "the condition holds in time");
    }

    private static JobSpec spec(String queue) {
        return spec(queue, JOB);
    }

    private static JobSpec spec(String queue, String job) {
        StepSpec step = StepSpec.builder()
                .tasks(1, new ResourceAmount(1_000, 128, 0))
                .estimateMillis(60_000)
                .build();
        return new JobSpec(job, queue, "text", List.of(step), JobSpec.Schedule.ONCE);
    }

    private static QueueConfig queue(String name, String pool) {
        return new QueueConfig(name, "Host", "/q/", pool, 0, 3, 1, 1_000, Optional.empty(), false);
    }

    private static JobConfiguration configuration(long version, QueueConfig... queues) {
        return new JobConfiguration(
                version,
                JobConfiguration.byName(List.of(queues)),
                Set.of(FORMER_POOL, POOL),
                Set.of(),
                1_000,
                Teams.NONE);
    }
}
