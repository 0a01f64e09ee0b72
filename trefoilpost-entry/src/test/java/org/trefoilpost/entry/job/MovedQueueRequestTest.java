package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
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
import org.trefoilpost.decision.job.JobPhase;
import org.trefoilpost.decision.job.JobSpec;
import org.trefoilpost.decision.job.QueueConfig;
import org.trefoilpost.decision.job.ResourceAmount;
import org.trefoilpost.decision.job.StepSpec;
import org.trefoilpost.decision.job.team.Caller;
import org.trefoilpost.decision.job.team.Teams;
import org.trefoilpost.entry.peer.PoolAnswer;

/**
 * Plays two entries: one that owns the pools, and one that has not heard that a queue has moved from one pool to the other.
 */
class MovedQueueRequestTest {
    private static final String FORMER_POOL = "former";
    private static final String POOL = "pool";
    private static final String JOB = "0000000000000001";
    private static final String CONFIGURATION_KEY = "op/config";
    private static final long DEADLINE_MILLIS = 3_000;
    private static final long WAIT_MILLIS = 5_000;

    private final MemoryStore store = new MemoryStore();
    private final TestService service =
            new TestService(store, new IdleWorkers(), null, new OneWorkerFormats(FORMER_POOL));
    private final Map<String, PoolRunner> runners = new HashMap<>();
    private final LiveEntries ownersOfBehind = new LiveEntries();
    private final ConfigurationStatus status = new ConfigurationStatus(service.context());
    private final OwnersGuard guard = new OwnersGuard();

    private final OwnerCalls owningCalls = new OwnerCalls(
            service.context(), new LiveEntries(), null, pool -> Optional.ofNullable(runners.get(pool)), () -> true);
    private final JobRequestRouter owningEntry = new JobRequestRouter(service.context(), owningCalls, status);
    private final JobRequestRouter entryBehind = new JobRequestRouter(
            service.context(),
            new OwnerCalls(service.context(), ownersOfBehind, this::callOwner, pool -> Optional.empty(), () -> true),
            status);

    @BeforeEach
    void open() {
        store.put("servers/w", "registered");
        store.put(CONFIGURATION_KEY, "1");
        guard.apply(1, FORMER_POOL);
        WorkerRegistry registry = new WorkerRegistry(service.context(), () -> 0, () -> {});
        service.run(registry::start);
        openPool(FORMER_POOL, registry);
        openPool(POOL, registry);
        service.run(() -> owningEntry.configure(configuration(1, FORMER_POOL)));
        service.run(() -> entryBehind.configure(configuration(1, FORMER_POOL)));
    }

    @AfterEach
    void stop() {
        service.close();
    }

    /** Guards against a job that the owners of two pools accept, as an entry that has not heard of the move sends it again. */
    @Test
    void jobSentAgainByAnEntryBehindIsAcceptedOnce() {
        moveQueue();
        guard.apply(2, POOL);
        assertEquals(
                "stored",
                await(owningEntry.submit(spec(), Caller.UNIDENTIFIED, DEADLINE_MILLIS))
                        .reason());
        assertEquals(
                JobReplyStatus.DONE,
                await(entryBehind.submit(spec(), Caller.UNIDENTIFIED, DEADLINE_MILLIS))
                        .status());
        assertEquals(List.of(PoolStore.jobKey(POOL, JOB)), keysOfJobs());
    }

    /** Guards against a refusal, or an acceptance for the former pool, of a new job that comes by an entry behind. */
    @Test
    void newJobFromAnEntryBehindIsAcceptedByTheOwnerOfThePresentPool() {
        moveQueue();
        guard.apply(2, POOL);
        assertEquals(
                JobReplyStatus.DONE,
                await(entryBehind.submit(spec(), Caller.UNIDENTIFIED, DEADLINE_MILLIS))
                        .status());
        assertEquals(List.of(PoolStore.jobKey(POOL, JOB)), keysOfJobs());
    }

    /** Guards against an acceptance by an owner that has not heard of the move itself. */
    @Test
    void ownerBehindAcceptsNothingAfterTheMove() {
        moveQueue();
        assertEquals(
                JobReplyStatus.DONE,
                await(entryBehind.submit(spec(), Caller.UNIDENTIFIED, DEADLINE_MILLIS))
                        .status());
        assertEquals(2, guard.version(), "the owner has learned of the move from the store");
        assertEquals(List.of(PoolStore.jobKey(POOL, JOB)), keysOfJobs());
    }

    /** Guards against an owner behind that refuses a job sent to it by a newer configuration than its own. */
    @Test
    void ownerBehindAcceptsAJobOfAQueueThatHasMovedToItsPool() {
        moveQueue();
        service.run(() -> entryBehind.configure(configuration(2, POOL)));
        assertEquals(
                JobReplyStatus.DONE,
                await(entryBehind.submit(spec(), Caller.UNIDENTIFIED, DEADLINE_MILLIS))
                        .status());
        assertEquals(List.of(PoolStore.jobKey(POOL, JOB)), keysOfJobs());
    }

    /** Guards against NO_JOB from an entry behind for a job that runs in the pool to which its queue has moved. */
    @Test
    void jobInThePresentPoolIsKnownThroughAnEntryBehind() {
        moveQueue();
        guard.apply(2, POOL);
        await(owningEntry.submit(spec(), Caller.UNIDENTIFIED, DEADLINE_MILLIS));
        status.confirmed(service.context().now());
        JobReply phase = await(entryBehind.phase("q", JOB, Caller.UNIDENTIFIED, DEADLINE_MILLIS));
        assertTrue(phase.phase().isPresent(), "answered " + phase);
        assertEquals(
                JobReplyStatus.DONE,
                await(entryBehind.cancel("q", JOB, Caller.UNIDENTIFIED, DEADLINE_MILLIS))
                        .status());
        assertEquals(
                Optional.of(JobPhase.CANCELLED),
                await(owningEntry.phase("q", JOB, Caller.UNIDENTIFIED, DEADLINE_MILLIS))
                        .phase());
    }

    /** Writes the configuration that moves the queue; the entry that owns the pools routes by it. */
    private void moveQueue() {
        store.put(CONFIGURATION_KEY, "2");
        service.run(() -> owningEntry.configure(configuration(2, POOL)));
    }

    private void openPool(String pool, WorkerRegistry registry) {
        StorePort.Put owner = new StorePort.Put(LiveEntries.ownerKey(pool), new byte[0], 0);
        StorePort.Put counter = new StorePort.Put(PoolStore.counterKey(pool), new byte[0], 0);
        long token = store.commit(new StorePort.Change(Map.of(), List.of(owner, counter), List.of()))
                .join();
        PoolRunner runner = new PoolRunner(pool, token, service.context(), registry, guard, () -> {});
        runners.put(pool, runner);
        service.run(() -> runner.start(configuration(1, FORMER_POOL).queues(), Teams.NONE));
        tickUntil(runner::isOpen);
        LiveEntries.Peer peer = new LiveEntries.Peer("entry-2", "127.0.0.1:2", "first", 750);
        String key = LiveEntries.ownerKey(pool);
        ownersOfBehind.change(key, Optional.of(new StorePort.Item(key, LiveEntries.encode(peer), 1, 1)), 0);
    }

    private CompletableFuture<PoolAnswer> callOwner(
            LiveEntries.Peer peer, String pool, byte[] request, long timeoutMillis) {
        CompletableFuture<PoolAnswer> answer = new CompletableFuture<>();
        owningCalls.answerPeerCall(pool, request, (owner, bytes) -> answer.complete(PoolAnswer.of(1, owner, bytes)));
        return answer;
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

    private List<String> keysOfJobs() {
        return store.range("trefoilpost/job/", "").join().items().stream()
                .map(StorePort.Item::key)
                .toList();
    }

    private static JobSpec spec() {
        StepSpec step = StepSpec.builder()
                .tasks(1, new ResourceAmount(1_000, 128, 0))
                .estimateMillis(60_000)
                .build();
        return new JobSpec(JOB, "q", "text", List.of(step), JobSpec.Schedule.ONCE);
    }

    private static JobConfiguration configuration(long version, String pool) {
        QueueConfig queue = new QueueConfig("q", "host", "/q/", pool, 0, 3, 1, 1_000, Optional.empty(), false);
        return new JobConfiguration(
                version, Map.of("q", queue), Set.of(FORMER_POOL, POOL), Set.of(), 1_000, Teams.NONE);
    }

    /** The configuration that the owners of the pools know; the text of its item is its version. */
    private final class OwnersGuard implements ConfigurationGuard {
        private long version;
        private long revision;

        void apply(long newVersion, String pool) {
            version = newVersion;
            revision = store.revisionOf(CONFIGURATION_KEY);
            Map<String, QueueConfig> queues = configuration(newVersion, pool).queues();
            service.run(() -> configureRunners(queues));
        }

        private void configureRunners(Map<String, QueueConfig> queues) {
            runners.values().forEach(runner -> runner.configure(queues, Teams.NONE));
        }

        @Override
        public long version() {
            return version;
        }

        @Override
        public Map<String, Long> condition() {
            return Map.of(CONFIGURATION_KEY, revision);
        }

        @Override
        public void itemFound(StorePort.Item item) {
            version = Long.parseLong(new String(item.value(), StandardCharsets.UTF_8));
            revision = item.revision();
            configureRunners(
                    configuration(version, version == 1 ? FORMER_POOL : POOL).queues());
        }
    }
}
