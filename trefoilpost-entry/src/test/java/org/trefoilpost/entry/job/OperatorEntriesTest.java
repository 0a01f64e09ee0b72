package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.WatchTimes;
import org.trefoilpost.decision.job.team.Teams;

/**
 * Plays the age of the configuration's confirmation in virtual time, with a store that takes its time and a process that is
 * suspended.
 */
class OperatorEntriesTest {
    private static final long APPLY_MILLIS = 2_000;
    private static final long STEP_MILLIS = 10;
    private static final String KEY = "op/config";

    private final AtomicLong steady = new AtomicLong(1_000_000);
    private final AtomicLong wall = new AtomicLong(50_000_000);

    /**
     * Guards against refusals in calm operation: the largest age with changes at any time must be below the bound, and below
     * half of it with a store that answers as usual and no changes.
     */
    @Test
    void confirmationStaysYoungWhateverTheTimeOfAChange() {
        for (long latencyMillis : List.of(4L, 120L, 240L)) {
            long calmMillis = largestAgeMillis(latencyMillis, Long.MAX_VALUE);
            long changingMillis = 0;
            for (long interval = 100; interval <= 2_500; interval += 70) {
                changingMillis = Math.max(changingMillis, largestAgeMillis(latencyMillis, interval));
            }
            System.out.println("store takes " + latencyMillis + " ms: largest age " + calmMillis + " without changes, "
                    + changingMillis + " with changes");
            assertTrue(changingMillis <= APPLY_MILLIS - 500, latencyMillis + ": " + changingMillis);
            assertTrue(latencyMillis > 4 || calmMillis <= APPLY_MILLIS / 2, latencyMillis + ": " + calmMillis);
        }
    }

    private long largestAgeMillis(long latencyMillis, long changeIntervalMillis) {
        SlowStore store = new SlowStore(latencyMillis);
        store.write("1");
        long largest = 0;
        try (TestService service = service(store)) {
            OperatorEntries entries = new OperatorEntries(service.context(), new IgnoringListener());
            service.run(entries::start);
            advance(service, store, 600);
            for (long passed = 0; passed < 8_000; passed += STEP_MILLIS) {
                if (passed % changeIntervalMillis == 0 && changeIntervalMillis < Long.MAX_VALUE) {
                    store.write(Long.toString(passed + 2));
                }
                advance(service, store, STEP_MILLIS);
                largest = Math.max(largest, entries.status().displayedAgeMillis());
            }
        }
        return largest;
    }

    /** Guards against answers by the former configuration right after a suspension, during which the steady clock stands still. */
    @Test
    void suspensionVoidsTheConfirmationUntilTheStoreIsAskedAgain() {
        SlowStore store = new SlowStore(4);
        store.write("1");
        try (TestService service = service(store)) {
            OperatorEntries entries = new OperatorEntries(service.context(), new IgnoringListener());
            service.run(entries::start);
            advance(service, store, 1_300);
            assertTrue(entries.status().isConfirmed());
            // The store gives the answer to the watch before the configuration is written; it is read after the
            // suspension.
            wall.addAndGet(5_000);
            assertFalse(entries.status().isConfirmed(), "before the suspension is noticed");
            advance(service, store, 1_000);
            store.loseCalls();
            store.write("2");
            service.run(entries::suspended);
            assertFalse(entries.status().isConfirmed());
            advance(service, store, 300);
            assertTrue(entries.status().isConfirmed());
            assertEquals(2, entries.version());
        }
    }

    @Test
    void answerToAWatchFromBeforeASuspensionConfirmsNothing() {
        SlowStore store = new SlowStore(4);
        store.write("1");
        try (TestService service = service(store)) {
            OperatorEntries entries = new OperatorEntries(service.context(), new IgnoringListener());
            service.run(entries::start);
            advance(service, store, 500);
            wall.addAndGet(5_000);
            for (int i = 0; i < 30; i++) {
                boolean askedAgain = store.watches > 1;
                assertTrue(askedAgain || !entries.status().isConfirmed());
                advance(service, store, STEP_MILLIS);
            }
        }
    }

    @Test
    void configurationOfAPeerIsTakenOnlyIfItIsNewer() {
        SlowStore store = new SlowStore(4);
        store.write("5");
        try (TestService service = service(store)) {
            OperatorEntries entries = new OperatorEntries(service.context(), new IgnoringListener());
            service.run(() -> entries.itemFound(item("3", 3)));
            assertEquals(3, entries.version(), "an entry without a configuration takes it from a peer");
            assertFalse(entries.status().isConfirmed());
            service.run(entries::start);
            advance(service, store, 100);
            assertEquals(5, entries.version());
            service.run(() -> entries.itemFound(item("4", 4)));
            assertEquals(5, entries.version());
            service.run(() -> entries.itemFound(item("7", 7)));
            assertEquals(7, entries.version());
            assertEquals(7, entries.configurationItem().orElseThrow().revision());
        }
    }

    private TestService service(StorePort store) {
        return new TestService(new JobPorts(store, null, null, null, new VersionFormats()), steady::get, wall::get);
    }

    private void advance(TestService service, SlowStore store, long millis) {
        for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
            steady.addAndGet(STEP_MILLIS);
            wall.addAndGet(STEP_MILLIS);
            service.runWithTimers(store::runDueEvents);
        }
    }

    private static StorePort.Item item(String version, long revision) {
        return new StorePort.Item(KEY, version.getBytes(StandardCharsets.UTF_8), revision, 0);
    }

    /** A store with one key, whose answers take half of a latency each way. */
    private final class SlowStore extends MemoryStore {
        private final long latencyMillis;
        private final PriorityQueue<Event> events = new PriorityQueue<>();
        private Item current;
        private long eventCount;
        private int watches;

        SlowStore(long latencyMillis) {
            this.latencyMillis = latencyMillis;
        }

        void write(String version) {
            current = item(version, current == null ? 10 : current.revision() + 1);
        }

        void loseCalls() {
            events.clear();
        }

        void runDueEvents() {
            while (!events.isEmpty() && events.peek().atMillis <= steady.get()) {
                events.remove().action.run();
            }
        }

        private void later(long millis, Runnable action) {
            events.add(new Event(steady.get() + millis, eventCount++, action));
        }

        @Override
        public CompletableFuture<Page> range(String prefix, String after) {
            CompletableFuture<Page> answer = new CompletableFuture<>();
            later(latencyMillis / 2, () -> {
                Page page = new Page(List.of(current), false, current.revision());
                later(latencyMillis / 2, () -> answer.complete(page));
            });
            return answer;
        }

        @Override
        public CompletableFuture<Changes> watch(String prefix, long afterRevision, WatchTimes times) {
            watches++;
            CompletableFuture<Changes> answer = new CompletableFuture<>();
            later(latencyMillis / 2, () -> answerWatch(afterRevision, steady.get() + times.waitMillis(), answer));
            return answer;
        }

        private void answerWatch(long afterRevision, long endMillis, CompletableFuture<Changes> answer) {
            List<Map.Entry<String, Optional<Item>>> changes = new ArrayList<>();
            if (current.revision() > afterRevision) {
                changes.add(Map.entry(KEY, Optional.of(current)));
            }
            if (changes.isEmpty() && steady.get() < endMillis) {
                later(STEP_MILLIS, () -> answerWatch(afterRevision, endMillis, answer));
            } else {
                Changes result = new Changes(changes, current.revision());
                later(latencyMillis / 2, () -> answer.complete(result));
            }
        }
    }

    private record Event(long atMillis, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    /** Reads a configuration whose value is its version. */
    private static final class VersionFormats extends UnusedFormats {
        @Override
        public Optional<JobConfiguration> configuration(StorePort.Item item) {
            long version = Long.parseLong(new String(item.value(), StandardCharsets.UTF_8));
            return Optional.of(new JobConfiguration(version, Map.of(), Set.of(), Set.of(), 1_000, Teams.NONE));
        }
    }

    private static final class IgnoringListener implements OperatorEntries.Listener {
        @Override
        public void configured(JobConfiguration configuration) {
            // The test reads the version in force.
        }

        @Override
        public void waveRequested(UpkeepWave wave, long revision) {
            // There are no waves.
        }

        @Override
        public void waveWithdrawn(long number) {
            // There are no waves.
        }

        @Override
        public void changesApplied() {
            // The test reads the version in force.
        }

        @Override
        public void watchUnanswered() {
            // The mirror repeats its own watch.
        }
    }
}
