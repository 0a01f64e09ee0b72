package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.JobSpec;
import org.trefoilpost.decision.job.OrderResult;
import org.trefoilpost.decision.job.QueueConfig;
import org.trefoilpost.decision.job.ResourceAmount;
import org.trefoilpost.decision.job.StepSpec;
import org.trefoilpost.decision.job.WatchTimes;
import org.trefoilpost.decision.job.WorkerAddress;
import org.trefoilpost.decision.job.WorkerOrder;
import org.trefoilpost.decision.job.WorkerRunStatus;
import org.trefoilpost.decision.job.team.PoolGrant;
import org.trefoilpost.decision.job.team.TeamConfig;
import org.trefoilpost.decision.job.team.TeamGrants;
import org.trefoilpost.decision.job.team.TeamGrantsCodec;
import org.trefoilpost.decision.job.team.TeamPolicy;
import org.trefoilpost.decision.job.team.Teams;

/**
 * Guards against calls for team limits that a deployment does not enforce, grants that a former owner changes, grants that
 * count though their write may not have taken effect, and keys of others that are overwritten.
 */
class TeamStoreTest {
    private static final String POOL = "pool";
    private static final String TEAM_PREFIX = "trefoilpost/team/";
    private static final String KEY = TEAM_PREFIX + "a";
    private static final TeamPolicy ENFORCED = new TeamPolicy(false, true);
    private static final Teams LIMITED = teams(new ResourceAmount(4_000, 0, 0));
    private static final Teams UNLIMITED = teams(ResourceAmount.NONE);
    private static final Map<String, QueueConfig> QUEUES =
            Map.of("q", new QueueConfig("q", "host", "/q/", POOL, 0, 3, 1, 1_000, Optional.empty(), false));
    private static final long WAIT_MILLIS = 5_000;

    private final RecordingStore store = new RecordingStore();
    private final Worker worker = new Worker();
    private TestService service;
    private PoolRunner runner;
    private long token;

    private static Teams teams(ResourceAmount cap) {
        return Teams.builder().team(new TeamConfig("a", 1, cap)).build();
    }

    private void open(TeamPolicy policy, Teams teams) {
        service = new TestService(store, worker, new OneWorkerFormats(POOL), policy);
        StorePort.Put owner = new StorePort.Put(LiveEntries.ownerKey(POOL), new byte[0], 0);
        StorePort.Put counter = new StorePort.Put(PoolStore.counterKey(POOL), new byte[0], 0);
        token = store.commit(new StorePort.Change(Map.of(), List.of(owner, counter), List.of()))
                .join();
        store.put("servers/w", "registered");
        WorkerRegistry registry = new WorkerRegistry(service.context(), () -> 0, () -> {});
        runner = new PoolRunner(POOL, token, service.context(), registry, ConfigurationGuard.NONE, () -> {});
        service.run(registry::start);
        service.run(() -> runner.start(QUEUES, teams));
        tickUntil(() -> runner.isOpen());
    }

    @AfterEach
    void stop() {
        service.close();
    }

    @Test
    void noCallIsMadeUnlessLimitsAreEnforced() {
        open(TeamPolicy.NONE, LIMITED);
        submit("0000000000000001", 8);
        tickUntil(() -> worker.running.size() == 8);
        assertEquals(List.of(), store.teamCalls);
    }

    @Test
    void noCallIsMadeWhileNoTeamHasACap() {
        open(ENFORCED, UNLIMITED);
        submit("0000000000000001", 8);
        tickUntil(() -> worker.running.size() == 8);
        assertEquals(List.of(), store.teamCalls);
        service.run(() -> runner.configure(QUEUES, LIMITED));
        tickUntil(() -> store.teamCalls.contains("watch"));
        service.run(() -> runner.configure(QUEUES, UNLIMITED));
        int calls = store.teamCalls.size();
        store.answerWatch();
        service.run(() -> runner.tick());
        assertEquals(calls, store.teamCalls.size(), "the watch has ended");
    }

    @Test
    void grantIsWrittenUnderBothConditionsAndLimitsTheStarts() {
        open(ENFORCED, LIMITED);
        submit("0000000000000001", 8);
        tickUntil(() -> worker.running.size() == 4);
        assertEquals(
                Map.of(KEY, 0L, LiveEntries.ownerKey(POOL), token),
                store.teamChanges.get(0).expected());
        for (int i = 0; i < 50; i++) {
            service.run(() -> runner.tick());
        }
        assertEquals(4, worker.running.size());
        assertEquals(4_000, stored().row(POOL).granted().cpuMillis());
        assertEquals(token, stored().row(POOL).token());
    }

    @Test
    void lostAnswerIsResolvedByReadingTheKey() {
        open(ENFORCED, LIMITED);
        store.loseNextTeamAnswer = true;
        submit("0000000000000001", 8);
        tickUntil(() -> worker.running.size() == 4);
        assertTrue(store.teamCalls.contains("read"));
        assertEquals(4_000, stored().row(POOL).granted().cpuMillis());
    }

    @Test
    void grantsOfAnotherPoolAreRespected() {
        putRow("other", new ResourceAmount(3_000, 0, 0));
        open(ENFORCED, LIMITED);
        submit("0000000000000001", 8);
        tickUntil(() -> worker.running.size() == 1 && !stored().row(POOL).wish().equals(ResourceAmount.NONE));
        assertEquals(3_000, stored().row(POOL).wish().cpuMillis());
        assertEquals(3_000, stored().row("other").granted().cpuMillis());
    }

    @Test
    void formerOwnerRaisesNoGrant() {
        open(ENFORCED, LIMITED);
        store.put(LiveEntries.ownerKey(POOL), "claimed by another entry");
        submit("0000000000000001", 8);
        tickUntil(() -> !store.teamCalls.contains("none") && store.revisionOf(KEY) == 0);
        for (int i = 0; i < 20; i++) {
            service.run(() -> runner.tick());
        }
        assertEquals(0, store.revisionOf(KEY));
        assertEquals(0, worker.running.size());
    }

    @Test
    void unreadableKeyIsNotOverwritten() {
        store.put(KEY, "no grants");
        open(ENFORCED, LIMITED);
        submit("0000000000000001", 8);
        for (int i = 0; i < 50; i++) {
            service.run(() -> runner.tick());
        }
        assertEquals("no grants", store.text(KEY));
        assertEquals(0, worker.running.size());
    }

    @Test
    void gaugesShowUseAndGrantByTeam() {
        open(ENFORCED, LIMITED);
        submit("0000000000000001", 8);
        tickUntil(() -> service.context()
                .metrics()
                .text()
                .contains("trefoilpost_jobs_team_grant{resource=\"cpu\",team=\"a\"} 4000.0"));
        tickUntil(() -> service.context()
                .metrics()
                .text()
                .contains("trefoilpost_jobs_team_use{resource=\"cpu\",team=\"a\"} 4000.0"));
    }

    private TeamGrants stored() {
        return store.read(KEY)
                .join()
                .map(item -> TeamGrantsCodec.decode(item.value(), item.revision()))
                .orElse(TeamGrants.ABSENT);
    }

    private void putRow(String pool, ResourceAmount granted) {
        TeamGrants grants = TeamGrants.ABSENT.with(pool, new PoolGrant(1, granted, ResourceAmount.NONE, false), 0);
        StorePort.Put put = new StorePort.Put(KEY, TeamGrantsCodec.encode(grants), 0);
        store.commit(new StorePort.Change(Map.of(), List.of(put), List.of())).join();
        store.teamCalls.clear();
        store.teamChanges.clear();
    }

    private void submit(String id, int tasks) {
        StepSpec step = StepSpec.builder()
                .tasks(tasks, new ResourceAmount(1_000, 128, 0))
                .estimateMillis(60_000)
                .build();
        JobSpec job = new JobSpec(id, "q", "text", List.of(step), JobSpec.Schedule.ONCE).withTeam(Optional.of("a"));
        service.run(() -> runner.requests().submit(job, new QueueRoute("q", 0)));
    }

    private void tickUntil(BooleanSupplier condition) {
        long endNanos = System.nanoTime() + WAIT_MILLIS * 1_000_000;
        while (!condition.getAsBoolean() && System.nanoTime() < endNanos) {
            service.run(() -> runner.tick());
        }
        assertTrue(condition.getAsBoolean(), "the condition holds in time");
    }

    /** A store that records the calls that concern the teams' keys, and can lose the answer to a write of one. */
    private static final class RecordingStore extends MemoryStore {
        private final List<String> teamCalls = new ArrayList<>();
        private final List<Change> teamChanges = new ArrayList<>();
        private CompletableFuture<Changes> lastWatch = new CompletableFuture<>();
        private boolean loseNextTeamAnswer;

        void answerWatch() {
            lastWatch.complete(new Changes(List.of(), revision()));
        }

        @Override
        public CompletableFuture<Optional<Item>> read(String key) {
            if (key.startsWith(TEAM_PREFIX)) {
                teamCalls.add("read");
            }
            return super.read(key);
        }

        @Override
        public CompletableFuture<Page> range(String prefix, String after) {
            if (prefix.startsWith(TEAM_PREFIX)) {
                teamCalls.add("range");
            }
            return super.range(prefix, after);
        }

        @Override
        public CompletableFuture<Changes> watch(String prefix, long after, WatchTimes times) {
            CompletableFuture<Changes> watch = super.watch(prefix, after, times);
            if (prefix.startsWith(TEAM_PREFIX)) {
                teamCalls.add("watch");
                lastWatch = watch;
            }
            return watch;
        }

        @Override
        public CompletableFuture<Long> commit(Change change) {
            boolean ofTeam = change.puts().stream().anyMatch(put -> put.key().startsWith(TEAM_PREFIX));
            CompletableFuture<Long> answer = super.commit(change);
            if (ofTeam) {
                teamCalls.add("commit");
                teamChanges.add(change);
                if (loseNextTeamAnswer) {
                    loseNextTeamAnswer = false;
                    return CompletableFuture.failedFuture(
                            new StoreFailure(StoreFailure.Kind.UNKNOWN, "lost", List.of()));
                }
            }
            return answer;
        }
    }

    /** A worker that starts and stops what it is told to. */
    private static final class Worker implements WorkerPort {
        private final List<WorkerRunStatus.Running> running = new ArrayList<>();

        @Override
        public CompletableFuture<Answer> send(WorkerOrder order, long fencingToken) {
            if (order instanceof WorkerOrder.Start start) {
                running.add(new WorkerRunStatus.Running(start.task().text(), start.run(), "", 100, 0));
            } else if (order instanceof WorkerOrder.Stop stop) {
                running.removeIf(run -> run.task().equals(stop.task()));
            }
            Optional<WorkerRunStatus> status = order instanceof WorkerOrder.Hold
                    ? Optional.of(new WorkerRunStatus(System.nanoTime() / 1_000_000, running, List.of()))
                    : Optional.empty();
            return CompletableFuture.completedFuture(new Answer(OrderResult.OK, status));
        }

        @Override
        public void closeConnections(WorkerAddress address) {
            // No connections are kept.
        }
    }
}
