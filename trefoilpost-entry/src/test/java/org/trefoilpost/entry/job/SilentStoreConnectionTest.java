package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.RegisteredWorker;
import org.trefoilpost.decision.job.ResourceAmount;
import org.trefoilpost.decision.job.WatchTimes;
import org.trefoilpost.decision.job.WorkerAddress;

/**
 * Plays connections to the store that go silent without being reset, in virtual time: what is written meanwhile must still
 * be applied in time.
 */
class SilentStoreConnectionTest {
    /** Time after its acknowledgement at which a configuration must be in force. */
    private static final long APPLY_MILLIS = 2_000;

    /** Time after a fault of an entry's connections from which it must keep to the bound again. */
    private static final long SETTLE_MILLIS = 3_000;

    private static final long STEP_MILLIS = 20;
    /** Time after a worker has said that it drains from which no task may be started there, as in {@link TestService}. */
    private static final long DRAIN_MILLIS = 2_000;

    private static final String CONFIGURATION_KEY = "op/config";
    private static final String WORKER_KEY = "servers/w";
    private static final String NEW = "new";

    @Test
    void configurationIsInForceInTimeThoughTheWatchOfItIsSilent() {
        List<String> late = new ArrayList<>();
        for (long silentAtMillis = 0; silentAtMillis < 4_000; silentAtMillis += 300) {
            for (long writeDelayMillis = 0; writeDelayMillis <= 2_500; writeDelayMillis += 500) {
                long tookMillis = play(silentAtMillis, writeDelayMillis, 0, FollowedConfiguration::new);
                if (tookMillis > Math.max(APPLY_MILLIS, SETTLE_MILLIS - writeDelayMillis)) {
                    late.add("silent at " + silentAtMillis + ", written " + writeDelayMillis + " later: in force after "
                            + tookMillis);
                }
            }
        }
        assertEquals(List.of(), late);
    }

    @Test
    void configurationIsInForceInTimeThoughIdleConnectionsAreSilentToo() {
        List<String> late = new ArrayList<>();
        for (long silentAtMillis = 0; silentAtMillis < 4_000; silentAtMillis += 700) {
            long tookMillis = play(silentAtMillis, 0, 6, FollowedConfiguration::new);
            if (tookMillis > SETTLE_MILLIS) {
                late.add("silent at " + silentAtMillis + ": in force after " + tookMillis);
            }
        }
        assertEquals(List.of(), late);
    }

    @Test
    void configurationIsInForceInTimeAfterSecondsWithoutAnAnswer() {
        List<String> late = new ArrayList<>();
        for (long outageMillis = 1_000; outageMillis <= 8_000; outageMillis += 300) {
            long tookMillis = play(2_000, outageMillis, 0, 0, FollowedConfiguration::new);
            if (tookMillis > SETTLE_MILLIS) {
                late.add("no answers for " + outageMillis + ": in force " + tookMillis + " after their end");
            }
        }
        assertEquals(List.of(), late);
    }

    @Test
    void drainingWorkerIsKnownInTimeThoughTheWatchOfTheRegistryIsSilent() {
        List<String> late = new ArrayList<>();
        for (long silentAtMillis = 0; silentAtMillis < 4_000; silentAtMillis += 300) {
            for (long writeDelayMillis = 0; writeDelayMillis <= 2_500; writeDelayMillis += 500) {
                long tookMillis = play(silentAtMillis, writeDelayMillis, 0, FollowedRegistry::new);
                if (tookMillis > Math.max(DRAIN_MILLIS, SETTLE_MILLIS - writeDelayMillis)) {
                    late.add("silent at " + silentAtMillis + ", draining " + writeDelayMillis + " later: known after "
                            + tookMillis);
                }
            }
        }
        assertEquals(List.of(), late);
    }

    /**
     * Makes all connections silent, changes a key, and returns how long it takes until the change is applied.
     */
    private static long play(
            long silentAtMillis, long writeDelayMillis, int idleConnections, Function<JobContext, Followed> follow) {
        return play(silentAtMillis, 0, writeDelayMillis, idleConnections, follow);
    }

    /**
     * Makes all connections silent for some time, those too that are opened meanwhile, changes a key, and returns how long it
     * takes until the change is applied.
     */
    private static long play(
            long silentAtMillis,
            long outageMillis,
            long writeDelayMillis,
            int idleConnections,
            Function<JobContext, Followed> follow) {
        AtomicLong clock = new AtomicLong(1_000_000);
        EmulatedStoreConnections store = new EmulatedStoreConnections(new MemoryStore(), clock::get);
        store.openIdleConnections(idleConnections);
        store.write(CONFIGURATION_KEY, "old");
        store.write(WORKER_KEY, "old");
        try (TestService service = new TestService(store, null, new WorkerFormats(), clock::get)) {
            Followed followed = follow.apply(service.context());
            service.run(followed::start);
            advance(service, store, clock, silentAtMillis);
            service.run(store::silenceOpenConnections);
            for (long passed = 0; passed < outageMillis; passed += STEP_MILLIS) {
                advance(service, store, clock, STEP_MILLIS);
                service.run(store::silenceOpenConnections);
            }
            advance(service, store, clock, writeDelayMillis);
            service.run(() -> store.write(followed.key(), NEW));
            long writtenMillis = clock.get();
            while (!followed.isNew() && clock.get() < writtenMillis + 60_000) {
                advance(service, store, clock, STEP_MILLIS);
            }
            return clock.get() - writtenMillis;
        }
    }

    private static void advance(TestService service, EmulatedStoreConnections store, AtomicLong clock, long millis) {
        for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
            clock.addAndGet(STEP_MILLIS);
            service.runWithTimers(store::tick);
        }
    }

    /** A part of the store that an entry follows. */
    private interface Followed {
        String key();

        void start();

        boolean isNew();
    }

    private static final class FollowedConfiguration implements Followed, StoreMirror.Listener {
        private final StoreMirror mirror;

        FollowedConfiguration(JobContext context) {
            this.mirror = new StoreMirror("op/", context, WatchTimes.within(APPLY_MILLIS), () -> 0, this);
        }

        @Override
        public String key() {
            return CONFIGURATION_KEY;
        }

        @Override
        public void start() {
            mirror.start();
        }

        @Override
        public boolean isNew() {
            return new String(mirror.items().get(CONFIGURATION_KEY).value(), StandardCharsets.UTF_8).equals(NEW);
        }

        @Override
        public void reloaded() {
            // The test reads the mirror's items.
        }

        @Override
        public void itemChanged(String key, Optional<StorePort.Item> item) {
            // The test reads the mirror's items.
        }

        @Override
        public void changesApplied() {
            // The test reads the mirror's items.
        }
    }

    private static final class FollowedRegistry implements Followed {
        private final WorkerRegistry registry;

        FollowedRegistry(JobContext context) {
            this.registry = new WorkerRegistry(context, () -> WorkerRegistry.OWNER_WATCH_DELAY_MILLIS, () -> {});
        }

        @Override
        public String key() {
            return WORKER_KEY;
        }

        @Override
        public void start() {
            registry.start();
        }

        @Override
        public boolean isNew() {
            return registry.workersOfPool("pool").stream().anyMatch(RegisteredWorker::draining);
        }
    }

    /** Reads a worker that drains if its value is the new one. */
    private static final class WorkerFormats extends UnusedFormats {
        @Override
        public Optional<RegisteredWorker> worker(StorePort.Item item) {
            boolean draining = new String(item.value(), StandardCharsets.UTF_8).equals(NEW);
            ResourceAmount capacity = new ResourceAmount(1_000, 1_000, 0);
            return Optional.of(new RegisteredWorker(
                    "w", "m", "pool", WorkerAddress.of("127.0.0.1", 1), "hall", List.of(), capacity, draining));
        }
    }
}
