package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.QueueConfig;
import org.trefoilpost.decision.job.WatchTimes;
import org.trefoilpost.decision.job.team.TeamPolicy;
import org.trefoilpost.decision.job.team.Teams;
import org.trefoilpost.entry.metrics.EntryMetrics;

class JobServiceTest {
    private static final long WAIT_MILLIS = 10_000;

    /** Guards against an entry that accepts a job which a pool that it has not read about yet already has. */
    @Test
    void requestsAreNotTakenBeforeTheLiveEntriesAreRead() throws InterruptedException {
        LateStore store = new LateStore();
        JobMetrics metrics = new JobMetrics(new PrometheusMeterRegistry(PrometheusConfig.DEFAULT));
        JobPorts ports = new JobPorts(store, null, null, null, new OneQueueFormats());
        try (JobService service = JobService.start(
                TestService.settings("127.0.0.1:0", TeamPolicy.NONE), ports, metrics, EntryMetrics.create())) {
            assertTrue(store.configurationRead.await(WAIT_MILLIS, TimeUnit.MILLISECONDS));
            assertFalse(isConfigured(service));
            store.liveEntries.complete(new StorePort.Page(List.of(), false, store.revision()));
            long endNanos = System.nanoTime() + WAIT_MILLIS * 1_000_000;
            while (!isConfigured(service) && System.nanoTime() < endNanos) {
                Thread.sleep(10);
            }
            assertTrue(isConfigured(service));
        }
    }

    private static boolean isConfigured(JobService service) {
        return service.ingress().route("host", "/q/1").configured();
    }

    /** A store that has a configuration, answers reads of the live entries late and those of the workers never. */
    private static final class LateStore extends MemoryStore {
        private final CompletableFuture<Page> liveEntries = new CompletableFuture<>();
        private final CountDownLatch configurationRead = new CountDownLatch(1);

        LateStore() {
            put("op/config", "configuration");
        }

        @Override
        public CompletableFuture<Page> range(String prefix, String after) {
            if (prefix.equals(LiveEntries.KEY_PREFIX)) {
                return liveEntries;
            }
            return prefix.equals("op/") ? super.range(prefix, after) : new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Changes> watch(String prefix, long after, WatchTimes times) {
            if (prefix.equals("op/")) {
                configurationRead.countDown();
            }
            return super.watch(prefix, after, times);
        }
    }

    private static final class OneQueueFormats extends UnusedFormats {
        @Override
        public Optional<JobConfiguration> configuration(StorePort.Item item) {
            QueueConfig queue = new QueueConfig("q", "host", "/q/", "pool", 0, 3, 1, 1_000, Optional.empty(), false);
            return Optional.of(
                    new JobConfiguration(1, Map.of("q", queue), Set.of("pool"), Set.of(), 1_000, Teams.NONE));
        }
    }
}
