package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.JobSpec;
import org.trefoilpost.decision.job.OrderResult;
import org.trefoilpost.decision.job.QueueConfig;
import org.trefoilpost.decision.job.RegisteredWorker;
import org.trefoilpost.decision.job.ResourceAmount;
import org.trefoilpost.decision.job.StepSpec;
import org.trefoilpost.decision.job.WorkerAddress;
import org.trefoilpost.decision.job.WorkerOrder;
import org.trefoilpost.decision.job.WorkerRunStatus;
import org.trefoilpost.decision.job.team.Caller;
import org.trefoilpost.decision.job.team.TeamConfig;
import org.trefoilpost.decision.job.team.TeamPolicy;
import org.trefoilpost.decision.job.team.Teams;
import org.trefoilpost.entry.runtime.MillisClock;

/**
 * Sends callers' requests through an entry that owns the pools itself.
 */
class TeamAccessTest {
    private static final TeamPolicy KEYS = new TeamPolicy(true, false);
    private static final Caller TEAM_A = Caller.of(Optional.of("team-a"));
    private static final Caller TEAM_B = Caller.of(Optional.of("team-b"));
    private static final Caller NO_TEAM = Caller.of(Optional.empty());
    private static final String JOB = "0000000000000001";
    private static final String POOL = "pool";
    private static final String FORMER_POOL = "former";
    private static final long WAIT_MILLIS = 5_000;
    private static final long CONFIRM_INTERVAL_MILLIS = 100;
    private static final long DEADLINE_MILLIS = 3_000;

    private final MemoryStore store = new MemoryStore();
    private final Map<String, PoolRunner> runners = new HashMap<>();
    private final LiveEntries liveEntries = new LiveEntries();
    private final AtomicBoolean confirmed = new AtomicBoolean(true);
    private ConfigurationStatus status;
    private TestService service;
    private JobRequestRouter router;

    @AfterEach
    void stop() {
        service.close();
    }

    /** Guards against a job that another team, or a caller without a team, reads, cancels or submits again. */
    @Test
    void jobOfATeamIsRefusedToOtherCallers() {
        open(KEYS, POOL);
        assertEquals(JobReplyStatus.DONE, submit(TEAM_A).status());
        for (Caller other : List.of(TEAM_B, NO_TEAM)) {
            JobReply refusal = JobReply.of(JobReplyStatus.FORBIDDEN, "other-team");
            assertEquals(refusal, await(router.phase("q", JOB, other, DEADLINE_MILLIS)));
            assertEquals(refusal, await(router.cancel("q", JOB, other, DEADLINE_MILLIS)));
            assertEquals(refusal, submit(other));
        }
        assertEquals(6, refusalCount("other-team"));
        assertEquals(
                JobReplyStatus.DONE,
                await(router.phase("q", JOB, TEAM_A, DEADLINE_MILLIS)).status());
        assertEquals("known", submit(TEAM_A).reason());
        assertEquals(
                JobReplyStatus.DONE,
                await(router.cancel("q", JOB, TEAM_A, DEADLINE_MILLIS)).status());
        assertEquals(
                JobReplyStatus.FORBIDDEN,
                await(router.phase("q", JOB, TEAM_B, DEADLINE_MILLIS)).status(),
                "also after its end");
    }

    /** Guards against a job without a team that nobody can read or cancel. */
    @Test
    void jobWithoutATeamIsOpenToAllIdentifiedCallers() {
        open(KEYS, POOL);
        assertEquals(JobReplyStatus.DONE, submit(NO_TEAM).status());
        for (Caller caller : List.of(TEAM_A, TEAM_B, NO_TEAM)) {
            assertEquals(
                    JobReplyStatus.DONE,
                    await(router.phase("q", JOB, caller, DEADLINE_MILLIS)).status());
        }
        assertEquals(
                JobReplyStatus.DONE,
                await(router.cancel("q", JOB, TEAM_B, DEADLINE_MILLIS)).status());
    }

    /** Guards against a second job with the identifier of another team's job, in the pool that the queue was moved to. */
    @Test
    void refusalOfTheFormerOwnerIsNotOverlooked() {
        open(KEYS, POOL, FORMER_POOL);
        service.run(() -> router.configure(configuration(1, FORMER_POOL)));
        assertEquals(JobReplyStatus.DONE, submit(TEAM_A).status());
        service.run(() -> router.configure(configuration(2, POOL)));
        assertEquals(JobReplyStatus.FORBIDDEN, submit(TEAM_B).status());
        assertEquals(
                JobReplyStatus.FORBIDDEN,
                await(router.phase("q", JOB, TEAM_B, DEADLINE_MILLIS)).status());
        assertEquals(
                JobReplyStatus.DONE,
                await(router.phase("q", JOB, TEAM_A, DEADLINE_MILLIS)).status());
        assertEquals("known", submit(TEAM_A).reason());
        assertTrue(store.text(PoolStore.jobKey(POOL, JOB)).isEmpty());
    }

    /** Guards against a second run of a job in the pool that its queue was moved to while its owner is not heard. */
    @Test
    void jobIsNotAcceptedAgainWhileItsFormerOwnerIsNotHeard() {
        open(KEYS, POOL, FORMER_POOL);
        service.run(() -> router.configure(configuration(1, FORMER_POOL)));
        assertEquals(JobReplyStatus.DONE, submit(TEAM_A).status());
        service.run(() -> router.configure(configuration(2, POOL)));
        PoolRunner former = runners.remove(FORMER_POOL);
        assertEquals(JobReply.refusal(JobReplyStatus.UNAVAILABLE, "no-owner", 1_000), submit(TEAM_A));
        assertTrue(store.text(PoolStore.jobKey(POOL, JOB)).isEmpty());
        runners.put(FORMER_POOL, former);
        assertEquals("known", submit(TEAM_A).reason());
    }

    /** Guards against a job that is unknown, and accepted again, while the pool that has it is in no configuration. */
    @Test
    void jobOfAPoolThatWasRemovedIsKnownWhileItIsStored() {
        open(KEYS, POOL, FORMER_POOL);
        service.run(() -> router.configure(configuration(1, FORMER_POOL)));
        assertEquals(JobReplyStatus.DONE, submit(TEAM_A).status());
        service.run(() -> router.configure(configuration(2, POOL, Set.of(POOL))));
        runners.remove(FORMER_POOL).close();
        service.run(this::readLiveEntries);
        assertNotAcceptedUntilClaimed();
    }

    /** Guards against an entry that asks former owners only if it has seen the queue move. */
    @Test
    void jobOfAFormerPoolIsKnownToAnEntryStartedAfterTheMove() {
        open(KEYS, POOL, FORMER_POOL);
        service.run(() -> router.configure(configuration(1, FORMER_POOL)));
        assertEquals(JobReplyStatus.DONE, submit(TEAM_A).status());
        runners.remove(FORMER_POOL).close();
        startRouter(configuration(2, POOL, Set.of(POOL)));
        service.run(this::readLiveEntries);
        assertNotAcceptedUntilClaimed();
    }

    /** Sends requests twice, as an owner that has only just ended is waited for in any case. */
    private void assertNotAcceptedUntilClaimed() {
        JobReply refusal = JobReply.refusal(JobReplyStatus.UNAVAILABLE, "no-owner", 1_000);
        for (int i = 0; i < 2; i++) {
            assertEquals(refusal, await(router.phase("q", JOB, TEAM_A, DEADLINE_MILLIS)));
            assertEquals(refusal, submit(TEAM_A));
        }
        openRunner(FORMER_POOL);
        assertEquals(
                JobReplyStatus.DONE,
                await(router.phase("q", JOB, TEAM_A, DEADLINE_MILLIS)).status());
        assertEquals("known", submit(TEAM_A).reason());
        assertTrue(store.text(PoolStore.jobKey(POOL, JOB)).isEmpty());
    }

    /** Guards against a job whose team is lost with its owner. */
    @Test
    void teamOfAJobIsStoredAndReadByTheNextOwner() {
        open(KEYS, POOL);
        assertEquals(JobReplyStatus.DONE, submit(TEAM_A).status());
        assertTrue(store.text(PoolStore.jobKey(POOL, JOB)).endsWith("team-a"));
        service.run(() -> runners.get(POOL).close());
        openRunner(POOL);
        assertEquals(
                JobReplyStatus.FORBIDDEN,
                await(router.phase("q", JOB, TEAM_B, DEADLINE_MILLIS)).status());
        assertEquals(
                JobReplyStatus.DONE,
                await(router.phase("q", JOB, TEAM_A, DEADLINE_MILLIS)).status());
    }

    /** Guards against a wrong answer for a key, by each reason and while the configuration is unconfirmed. */
    @Test
    void keyIsCheckedAgainstTheConfigurationInForce() {
        open(KEYS, POOL);
        assertEquals(new JobIngress.Access(Optional.empty(), TEAM_A), router.access("q", Optional.of("key-a")));
        assertEquals(new JobIngress.Access(Optional.empty(), NO_TEAM), router.access("open", Optional.of("key-x")));
        assertEquals(
                Optional.of(JobReply.of(JobReplyStatus.UNAUTHENTICATED, "unknown-key")),
                router.access("q", Optional.of("key-x")).refusal());
        assertEquals(
                Optional.of(JobReply.of(JobReplyStatus.UNAUTHENTICATED, "missing-key")),
                router.access("q", Optional.empty()).refusal());
        confirmed.set(false);
        service.run(status::invalidate);
        for (String queue : List.of("q", "open")) {
            JobReply refusal =
                    router.access(queue, Optional.of("key-a")).refusal().orElseThrow();
            assertEquals(JobReply.of(JobReplyStatus.UNAVAILABLE, "configuration-unconfirmed"), refusal);
        }
    }

    /** Guards against any effect of teams and keys on a deployment whose settings lack the contract. */
    @Test
    void withoutTheContractTeamsAndKeysHaveNoEffect() {
        open(TeamPolicy.NONE, POOL);
        confirmed.set(false);
        service.run(status::invalidate);
        JobIngress.Access open = new JobIngress.Access(Optional.empty(), Caller.UNIDENTIFIED);
        for (Optional<String> key : List.of(Optional.of("key-a"), Optional.of("key-x"), Optional.<String>empty())) {
            assertEquals(open, router.access("q", key));
        }
        assertEquals(JobReplyStatus.DONE, submit(open.caller()).status());
        assertFalse(store.text(PoolStore.jobKey(POOL, JOB)).contains("team"));
        assertEquals(0, refusalCount("other-team"));
    }

    /** Guards against refusing everyone the jobs that were submitted while the contract was in force. */
    @Test
    void withoutTheContractJobsWithATeamAreOpen() {
        open(KEYS, POOL);
        assertEquals(JobReplyStatus.DONE, submit(TEAM_A).status());
        service.close();
        open(TeamPolicy.NONE, POOL);
        assertEquals(
                JobReplyStatus.DONE,
                await(router.phase("q", JOB, Caller.UNIDENTIFIED, DEADLINE_MILLIS))
                        .status());
    }

    private void open(TeamPolicy policy, String... pools) {
        runners.clear();
        service = new TestService(store, new Worker(), new OneWorkerPerPool(), MillisClock.steady(), policy);
        startRouter(configuration(1, POOL));
        for (String pool : pools) {
            openRunner(pool);
        }
    }

    private void startRouter(JobConfiguration configuration) {
        OwnerCalls calls = new OwnerCalls(
                service.context(),
                liveEntries,
                null,
                pool -> Optional.ofNullable(runners.get(pool)).filter(PoolRunner::isOpen),
                () -> true);
        status = new ConfigurationStatus(service.context());
        service.run(this::confirmRepeatedly);
        router = new JobRequestRouter(service.context(), calls, status);
        service.run(() -> router.configure(configuration));
    }

    private void readLiveEntries() {
        liveEntries.replace(
                store.range(LiveEntries.KEY_PREFIX, "").join().items(),
                service.context().now().steadyMillis());
    }

    private void confirmRepeatedly() {
        if (confirmed.get()) {
            status.confirmed(service.context().now());
        }
        service.context().schedule(CONFIRM_INTERVAL_MILLIS, this::confirmRepeatedly);
    }

    private void openRunner(String pool) {
        StorePort.Put owner = new StorePort.Put(LiveEntries.ownerKey(pool), new byte[0], 0);
        StorePort.Put counter = new StorePort.Put(PoolStore.counterKey(pool), new byte[0], 0);
        long token = store.commit(new StorePort.Change(Map.of(), List.of(owner, counter), List.of()))
                .join();
        store.put("servers/" + pool, pool);
        WorkerRegistry registry = new WorkerRegistry(service.context(), () -> 0, () -> {});
        PoolRunner runner = new PoolRunner(pool, token, service.context(), registry, ConfigurationGuard.NONE, () -> {});
        service.run(registry::start);
        service.run(() -> {
            runners.put(pool, runner);
            JobConfiguration configuration = configuration(1, pool);
            runner.start(configuration.queues(), configuration.teams());
        });
        long endNanos = System.nanoTime() + WAIT_MILLIS * 1_000_000;
        while (!runner.isOpen() && System.nanoTime() < endNanos) {
            service.run(runner::tick);
        }
        assertTrue(runner.isOpen());
    }

    private static JobConfiguration configuration(long version, String pool) {
        return configuration(version, pool, Set.of(POOL, FORMER_POOL));
    }

    private static JobConfiguration configuration(long version, String pool, Set<String> pools) {
        QueueConfig closed = new QueueConfig("q", "host", "/q/", pool, 0, 3, 1, 1_000, Optional.empty(), false);
        QueueConfig open = new QueueConfig("open", "host", "/open/", pool, 0, 3, 1, 1_000, Optional.empty(), true);
        Teams.Builder teams = Teams.builder();
        teams.team(new TeamConfig("team-a", 1, ResourceAmount.NONE)).addKey("team-a", "key-a");
        teams.team(new TeamConfig("team-b", 1, ResourceAmount.NONE)).addKey("team-b", "key-b");
        return new JobConfiguration(version, Map.of("q", closed, "open", open), pools, Set.of(), 1_000, teams.build());
    }

    private JobReply submit(Caller caller) {
        StepSpec step = StepSpec.builder()
                .tasks(1, new ResourceAmount(1_000, 128, 0))
                .estimateMillis(60_000)
                .build();
        JobSpec job = new JobSpec(JOB, "q", "text", List.of(step), JobSpec.Schedule.ONCE);
        return await(router.submit(job, caller, DEADLINE_MILLIS));
    }

    private JobReply await(CompletableFuture<JobReply> reply) {
        long endNanos = System.nanoTime() + WAIT_MILLIS * 1_000_000;
        while (!reply.isDone() && System.nanoTime() < endNanos) {
            service.run(() -> runners.values().forEach(PoolRunner::tick));
        }
        assertTrue(reply.isDone(), "the reply comes in time");
        return reply.join();
    }

    private long refusalCount(String reason) {
        return service.context()
                .metrics()
                .text()
                .lines()
                .filter(line -> line.startsWith("trefoilpost_jobs_decisions_request_refused_total")
                        && line.contains('"' + reason + '"'))
                .mapToLong(line -> (long) Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
                .sum();
    }

    /** A worker that starts and stops what it is told to. */
    private static final class Worker implements WorkerPort {
        private final Map<String, WorkerRunStatus.Running> running = new HashMap<>();

        @Override
        public CompletableFuture<Answer> send(WorkerOrder order, long fencingToken) {
            if (order instanceof WorkerOrder.Start start) {
                String task = start.task().text();
                running.put(task, new WorkerRunStatus.Running(task, start.run(), "", 100, 0));
            } else if (order instanceof WorkerOrder.Stop stop) {
                running.remove(stop.task());
            }
            Optional<WorkerRunStatus> status = order instanceof WorkerOrder.Hold
                    ? Optional.of(new WorkerRunStatus(
                            System.nanoTime() / 1_000_000, new ArrayList<>(running.values()), List.of()))
                    : Optional.empty();
            return CompletableFuture.completedFuture(new Answer(OrderResult.OK, status));
        }

        @Override
        public void closeConnections(WorkerAddress address) {
            // No connections are kept.
        }
    }

    /** Formats in which the value of a worker's entry is the name of its pool. */
    private static final class OneWorkerPerPool extends UnusedFormats {
        @Override
        public Optional<RegisteredWorker> worker(StorePort.Item item) {
            String pool = new String(item.value(), StandardCharsets.UTF_8);
            ResourceAmount capacity = new ResourceAmount(16_000, 16_000, 0);
            return Optional.of(new RegisteredWorker(
                    pool, "m", pool, WorkerAddress.of("127.0.0.1", 1), "hall", List.of(), capacity, false));
        }
    }
}
