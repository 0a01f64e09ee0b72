package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against waves that go on after their items have been removed, and against silence about unreadable ones. */
class OperatorWavesTest {
    private static final String KEY = "op/wave/1";
    private static final String UNREADABLE = "";

    private final MemoryStore store = new MemoryStore();
    private final TestService service = new TestService(store, null, new MachineNameFormats());
    private final List<String> events = new ArrayList<>();
    private final OperatorEntries entries = new OperatorEntries(service.context(), new Recorder());

    @AfterEach
    void stop() {
        service.close();
    }

    @Test
    void waveIsWithdrawnWhenItsItemIsRemoved() {
        write(KEY, "m1", 20);
        service.run(() -> entries.itemChanged(KEY, Optional.empty()));
        service.run(() -> entries.itemChanged(KEY, Optional.empty()));
        assertEquals(List.of("m1@20", "withdrawn 1"), events);
    }

    @Test
    void waveIsWithdrawnWhenAReadOfAllItemsLacksIt() {
        store.put(KEY, "m1");
        long revision = store.revisionOf(KEY);
        service.run(entries::start);
        store.remove(KEY);
        service.run(entries::start);
        assertEquals(List.of("m1@" + revision, "withdrawn 1"), events);
    }

    @Test
    void unreadableItemLeavesTheLastContentInForceAndIsLoggedOncePerRevision() {
        write(KEY, "m1", 20);
        write(KEY, UNREADABLE, 21);
        write(KEY, UNREADABLE, 21);
        assertEquals(1, unreadableLines());
        write(KEY, UNREADABLE, 22);
        assertEquals(2, unreadableLines());
        assertEquals(List.of("m1@20", "m1@21", "m1@21", "m1@22"), events);
    }

    @Test
    void unreadableItemOfAnUnknownWaveRequestsNothing() {
        write("op/wave/2", UNREADABLE, 20);
        write("op/other", UNREADABLE, 21);
        assertEquals(1, unreadableLines());
        assertEquals(List.of(), events);
    }

    private void write(String key, String text, long revision) {
        StorePort.Item item = new StorePort.Item(key, text.getBytes(StandardCharsets.UTF_8), revision, 0);
        service.run(() -> entries.itemChanged(key, Optional.of(item)));
    }

    private long unreadableLines() {
        return service.context()
                .metrics()
                .text()
                .lines()
                .filter(line -> line.startsWith("trefoilpost_jobs_decisions_wave_unreadable_total"))
                .mapToLong(line -> (long) Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
                .sum();
    }

    /** Reads a wave with one machine, whose name is the value. */
    private static final class MachineNameFormats extends UnusedFormats {
        @Override
        public Optional<UpkeepWave> wave(StorePort.Item item) {
            String machine = new String(item.value(), StandardCharsets.UTF_8);
            return machine.isEmpty() ? Optional.empty() : Optional.of(new UpkeepWave(1, List.of(machine), 5_000, 1));
        }
    }

    private final class Recorder implements OperatorEntries.Listener {
        @Override
        public void configured(JobConfiguration configuration) {
            // No configuration is written.
        }

        @Override
        public void waveRequested(UpkeepWave wave, long revision) {
            events.add(wave.machines().get(0) + "@" + revision);
        }

        @Override
        public void waveWithdrawn(long number) {
            events.add("withdrawn " + number);
        }

        @Override
        public void changesApplied() {
            // Each wave is passed on by itself.
        }

        @Override
        public void watchUnanswered() {
            // The store answers.
        }
    }
}
