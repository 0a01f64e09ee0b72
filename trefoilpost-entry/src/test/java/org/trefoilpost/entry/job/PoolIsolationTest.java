package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.JobSpec;
import org.trefoilpost.decision.job.QueueConfig;
import org.trefoilpost.decision.job.RegisteredWorker;
import org.trefoilpost.decision.job.ResourceAmount;
import org.trefoilpost.decision.job.StepSpec;
import org.trefoilpost.decision.job.WatchTimes;
import org.trefoilpost.decision.job.WorkerAddress;
import org.trefoilpost.decision.job.WorkerOrder;
import org.trefoilpost.decision.job.team.Caller;
import org.trefoilpost.decision.job.team.TeamPolicy;
import org.trefoilpost.decision.job.team.Teams;
import org.trefoilpost.entry.metrics.EntryMetrics;

/**
 * Runs an entry that owns two pools; the first order to each of the many workers of one breaks the round of decisions, so
 * that the rounds of a few seconds fail.
 */
class PoolIsolationTest {
    private static final String BROKEN_POOL = "a";
    private static final String SOUND_POOL = "b";
    private static final int BROKEN_WORKERS = 400;
    private static final long WAIT_MILLIS = 10_000;
    private static final long DEADLINE_MILLIS = 3_000;

    private final MemoryStore store = new WatchedStore();
    private final BreakingPort workers = new BreakingPort();
    private final CountedMachines machines = new CountedMachines();
    private JobService service;

    @BeforeEach
    void start() throws InterruptedException {
        store.put("op/config", "configuration");
        for (int i = 0; i < BROKEN_WORKERS; i++) {
            store.put("servers/" + BROKEN_POOL + i, "registered");
        }
        store.put("servers/" + SOUND_POOL, "registered");
        JobMetrics metrics = new JobMetrics(new PrometheusMeterRegistry(PrometheusConfig.DEFAULT));
        JobPorts ports = new JobPorts(store, workers, machines, null, new TwoPoolFormats());
        service = JobService.start(
                TestService.settings("127.0.0.1:0", TeamPolicy.NONE), ports, metrics, EntryMetrics.create());
    }

    @AfterEach
    void stop() {
        service.close();
    }

    /** Guards against a pool whose failing decisions keep those about other pools and the machines from being made. */
    @Test
    void failingDecisionsOfAPoolDoNotAffectOtherPools() throws Exception {
        awaitOrders();
        assertTrue(machines.listed.await(DEADLINE_MILLIS, TimeUnit.MILLISECONDS));
        assertEquals(JobReplyStatus.DONE, submit("q-" + SOUND_POOL).status());
    }

    /** Guards against a job that is not stored, and its caller not answered, because an order fails in each round. */
    @Test
    void jobIsStoredThoughOrdersOfItsPoolFail() throws Exception {
        awaitOrders();
        assertEquals(JobReplyStatus.DONE, submit("q-" + BROKEN_POOL).status());
    }

    private void awaitOrders() throws InterruptedException {
        long endNanos = System.nanoTime() + WAIT_MILLIS * 1_000_000;
        while (workers.broken.get() < 5 && System.nanoTime() < endNanos) {
            Thread.sleep(5);
        }
        assertTrue(workers.broken.get() >= 5, "the broken pool is owned");
    }

    private JobReply submit(String queue) throws Exception {
        StepSpec step = StepSpec.builder()
                .tasks(1, new ResourceAmount(1_000, 128, 0))
                .estimateMillis(100)
                .build();
        JobSpec job = new JobSpec("0000000000000001", queue, "text", List.of(step), JobSpec.Schedule.ONCE);
        return service.ingress()
                .submit(job, Caller.UNIDENTIFIED, DEADLINE_MILLIS)
                .get(DEADLINE_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** A store whose watches bring all items written since. */
    private static final class WatchedStore extends MemoryStore {
        private static final long EMPTY_ANSWER_MILLIS = 20;

        @Override
        public CompletableFuture<Changes> watch(String prefix, long after, WatchTimes times) {
            List<Map.Entry<String, Optional<Item>>> changes = new ArrayList<>();
            for (Item item : range(prefix, "").join().items()) {
                if (item.revision() > after) {
                    changes.add(Map.entry(item.key(), Optional.of(item)));
                }
            }
            CompletableFuture<Changes> answer = new CompletableFuture<>();
            return changes.isEmpty()
                    ? answer.completeOnTimeout(new Changes(changes, after), EMPTY_ANSWER_MILLIS, TimeUnit.MILLISECONDS)
                    : CompletableFuture.completedFuture(new Changes(changes, revision()));
        }
    }

    /** Answers the orders to the sound pool's worker, and returns no future for the others. */
    private static final class BreakingPort extends IdleWorkers {
        private final AtomicInteger broken = new AtomicInteger();

        @Override
        public CompletableFuture<Answer> send(WorkerOrder order, long fencingToken) {
            if (order.worker().startsWith(BROKEN_POOL)) {
                broken.incrementAndGet();
                return null;
            }
            return super.send(order, fencingToken);
        }
    }

    /** No machines, whose list is awaited. */
    private static final class CountedMachines implements MachinePort {
        private final CountDownLatch listed = new CountDownLatch(1);

        @Override
        public CompletableFuture<List<Machine>> list() {
            listed.countDown();
            return CompletableFuture.completedFuture(List.of());
        }

        @Override
        public CompletableFuture<Outcome> move(String machine, String pool, Authority authority) {
            throw new AssertionError("there are no machines");
        }

        @Override
        public CompletableFuture<Outcome> beginUpkeep(String machine, long wave, Authority authority) {
            throw new AssertionError("there are no machines");
        }
    }

    private static final class TwoPoolFormats extends UnusedFormats {
        @Override
        public Optional<JobConfiguration> configuration(StorePort.Item item) {
            Map<String, QueueConfig> queues = new HashMap<>();
            for (String pool : List.of(BROKEN_POOL, SOUND_POOL)) {
                String queue = "q-" + pool;
                queues.put(
                        queue,
                        new QueueConfig(
                                queue, "host", "/" + pool + "/", pool, 0, 3, 1, 1_000, Optional.empty(), false));
            }
            return Optional.of(
                    new JobConfiguration(1, queues, Set.of(BROKEN_POOL, SOUND_POOL), Set.of(), 1_000, Teams.NONE));
        }

        @Override
        public Optional<RegisteredWorker> worker(StorePort.Item item) {
            String id = item.key().substring("servers/".length());
            return Optional.of(new RegisteredWorker(
                    id,
                    "m-" + id,
                    id.substring(0, 1),
                    WorkerAddress.of("127.0.0.1", 1),
                    "hall",
                    List.of(),
                    new ResourceAmount(16_000, 16_000, 0),
                    false));
        }
    }
}
