package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.WatchTimes;

/**
 * Plays connections to the store that go silent without being reset, in virtual time: a configuration must still be in
 * force when the users' rule asks for it.
 */
class SilentStoreConnectionTest {
    /** Time after its acknowledgement at which a configuration must be in force. */
    private static final long APPLY_MILLIS = 2_000;

    /** Time after a fault of an entry's connections from which it must keep to the bound again. */
    private static final long SETTLE_MILLIS = 3_000;

    private static final long STEP_MILLIS = 20;
    private static final String PREFIX = "op/";
    private static final String KEY = PREFIX + "config";

    @Test
    void configurationIsInForceInTimeThoughTheWatchOfItIsSilent() {
        List<String> late = new ArrayList<>();
        for (long silentAtMillis = 0; silentAtMillis < 4_000; silentAtMillis += 300) {
            for (long writeDelayMillis = 0; writeDelayMillis <= 2_500; writeDelayMillis += 500) {
                long tookMillis = play(silentAtMillis, writeDelayMillis, 0);
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
            long tookMillis = play(silentAtMillis, 0, 6);
            if (tookMillis > SETTLE_MILLIS) {
                late.add("silent at " + silentAtMillis + ": in force after " + tookMillis);
            }
        }
        assertEquals(List.of(), late);
    }

    /**
     * Makes all connections silent, changes the configuration, and returns how long the change takes to be in force.
     */
    private static long play(long silentAtMillis, long writeDelayMillis, int idleConnections) {
        AtomicLong clock = new AtomicLong(1_000_000);
        EmulatedStoreConnections store = new EmulatedStoreConnections(new MemoryStore(), clock::get);
        store.openIdleConnections(idleConnections);
        store.write(KEY, "old");
        try (TestService service = new TestService(store, null, null, clock::get)) {
            StoreMirror mirror = new StoreMirror(
                    PREFIX, service.context(), WatchTimes.within(APPLY_MILLIS), () -> 0, new Listener());
            service.run(mirror::start);
            advance(service, store, clock, silentAtMillis);
            service.run(store::silenceOpenConnections);
            advance(service, store, clock, writeDelayMillis);
            service.run(() -> store.write(KEY, "new"));
            long writtenMillis = clock.get();
            while (!inForce(mirror).equals("new") && clock.get() < writtenMillis + 60_000) {
                advance(service, store, clock, STEP_MILLIS);
            }
            return clock.get() - writtenMillis;
        }
    }

    private static String inForce(StoreMirror mirror) {
        return new String(mirror.items().get(KEY).value(), StandardCharsets.UTF_8);
    }

    private static void advance(TestService service, EmulatedStoreConnections store, AtomicLong clock, long millis) {
        for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
            clock.addAndGet(STEP_MILLIS);
            service.runWithTimers(store::tick);
        }
    }

    /** A listener for a mirror whose items are read by the test. */
    private static final class Listener implements StoreMirror.Listener {
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
}
