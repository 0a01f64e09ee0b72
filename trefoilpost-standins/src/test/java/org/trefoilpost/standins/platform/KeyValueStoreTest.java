package org.trefoilpost.standins.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class KeyValueStoreTest {
    private static final byte[] VALUE = {1};

    private final KeyValueStore store = new KeyValueStore();

    private long put(String key, long expected) {
        WriteOutcome outcome = store.write(key, expected, OptionalLong.empty(), VALUE, 0);
        assertEquals(WriteOutcome.Kind.DONE, outcome.kind());
        return outcome.revision();
    }

    private static List<String> keysOf(CompletableFuture<KeyValueStore.Changes> watch) {
        assertTrue(watch.isDone());
        return watch.join().list().stream()
                .map(change -> (change.isDeleted() ? "-" : "+") + change.key())
                .toList();
    }

    /** Compares random conditional writes, deletions and change lists with a plain model of two maps. */
    @Property(tries = 100, seed = "11")
    void followsTheModel(@ForAll long seed) {
        Random random = new Random(seed);
        KeyValueStore tried = new KeyValueStore();
        Map<String, Long> present = new HashMap<>();
        TreeMap<Long, String> latest = new TreeMap<>();
        long revision = 0;
        for (int i = 0; i < 60; i++) {
            String key = List.of("a/1", "a/2", "ab/1", "b/1").get(random.nextInt(4));
            long held = present.getOrDefault(key, 0L);
            long expected = random.nextInt(4) == 0 ? random.nextInt(20) : held;
            boolean deletes = random.nextInt(3) == 0;
            WriteOutcome outcome = deletes
                    ? tried.delete(key, expected, 0)
                    : tried.write(key, expected, OptionalLong.empty(), VALUE, 0);
            boolean done = expected == held && !(deletes && held == 0);
            assertEquals(done, outcome.kind() == WriteOutcome.Kind.DONE);
            if (done) {
                revision++;
                present.put(key, deletes ? 0 : revision);
                latest.values().remove(key);
                latest.put(revision, key);
            }
            assertEquals(done ? revision : held, outcome.revision());
            long after = random.nextInt((int) revision + 1);
            List<String> expectedKeys = latest.tailMap(after, false).values().stream()
                    .filter(changed -> changed.startsWith("a/"))
                    .toList();
            CompletableFuture<KeyValueStore.Changes> watch = tried.watch("a/", after, 0);
            assertEquals(!expectedKeys.isEmpty(), watch.isDone());
            if (watch.isDone()) {
                assertEquals(
                        expectedKeys,
                        watch.join().list().stream().map(Change::key).toList());
            }
        }
    }

    @Test
    void watchWakesOnlyForItsPrefixAndMissesNothingBetweenTwoWatches() {
        CompletableFuture<KeyValueStore.Changes> watch = store.watch("a/", 0, 0);
        put("ab/x", 0);
        assertFalse(watch.isDone());
        long first = put("a/x", 0);
        assertEquals(List.of("+a/x"), keysOf(watch));
        assertEquals(first, watch.join().revision());
        put("a/y", 0);
        store.delete("a/x", first, 0);
        assertEquals(List.of("+a/y", "-a/x"), keysOf(store.watch("a/", first, 0)));
        assertEquals(0, store.waitingWatches());
    }

    @Test
    void lapsedLeaseDeletesItsKeysAndWakesWatches() {
        long lease = store.openLease(100, 0);
        long kept = store.write("e/kept", 0, OptionalLong.of(lease), VALUE, 0).revision();
        store.write("e/gone", 0, OptionalLong.of(lease), VALUE, 0);
        long plain =
                store.write("e/kept", kept, OptionalLong.empty(), VALUE, 50).revision();
        assertTrue(store.renewLease(lease, 99));
        store.lapseLeases(198);
        CompletableFuture<KeyValueStore.Changes> watch = store.watch("e/", plain, 198);
        assertFalse(watch.isDone());
        store.lapseLeases(199);
        assertEquals(List.of("-e/gone"), keysOf(watch));
        assertEquals(plain, store.read("e/kept", 199).orElseThrow().revision());
        assertFalse(store.renewLease(lease, 199));
        WriteOutcome late = store.write("e/late", 0, OptionalLong.of(lease), VALUE, 199);
        assertEquals(WriteOutcome.Kind.NO_LEASE, late.kind());
        assertEquals(Optional.empty(), store.read("e/late", 199));
    }

    @Test
    void readSeesALapseBeforeAnyTick() {
        long lease = store.openLease(100, 0);
        store.write("e/x", 0, OptionalLong.of(lease), VALUE, 0);
        assertEquals(Optional.empty(), store.read("e/x", 100));
    }

    @Test
    void endedLeaseDeletesItsKeys() {
        long lease = store.openLease(100, 0);
        store.write("e/x", 0, OptionalLong.of(lease), VALUE, 0);
        assertTrue(store.endLease(lease, 1));
        assertEquals(Optional.empty(), store.read("e/x", 1));
        assertFalse(store.endLease(lease, 2));
    }

    @Test
    void restoreBringsBackKeysLeasesAndRevisionAndEndsWatches() {
        long lease = store.openLease(100, 0);
        long first = store.write("e/x", 0, OptionalLong.of(lease), VALUE, 0).revision();
        store.snapshot("old");
        put("e/y", 0);
        store.endLease(lease, 10);
        CompletableFuture<KeyValueStore.Changes> watch = store.watch("e/", 3, 10);
        assertFalse(store.restore("unknown", 10));
        assertTrue(store.restore("old", 500));
        assertEquals(List.of(), keysOf(watch));
        assertEquals(first, watch.join().revision());
        assertEquals(first, store.read("e/x", 599).orElseThrow().revision());
        assertEquals(Optional.empty(), store.read("e/y", 599));
        assertEquals(first + 1, put("e/y", 0));
        assertEquals(Optional.empty(), store.read("e/x", 600));
    }
}
