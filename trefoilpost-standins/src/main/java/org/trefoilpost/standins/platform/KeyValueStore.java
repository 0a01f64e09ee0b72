package org.trefoilpost.standins.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * The key-value service's state, shared by threads, with its waiting watches and snapshots.
 */
final class KeyValueStore {
    private final Map<String, StoreState> snapshots = new HashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private StoreState state = StoreState.empty();

    KeyValueStore() {}

    Optional<StoredValue> read(String key, long nowMillis) {
        return change(nowMillis, held -> held.read(key));
    }

    Listing list(String prefix, long nowMillis) {
        return change(nowMillis, held -> new Listing(held.revision(), new TreeMap<>(held.under(prefix))));
    }

    WriteOutcome write(String key, long expected, OptionalLong lease, byte[] value, long nowMillis) {
        return change(nowMillis, held -> held.write(key, expected, lease, value));
    }

    WriteOutcome delete(String key, long expected, long nowMillis) {
        return change(nowMillis, held -> held.delete(key, expected));
    }

    long openLease(long ttlMillis, long nowMillis) {
        return change(nowMillis, held -> held.openLease(ttlMillis, nowMillis));
    }

    boolean renewLease(long lease, long nowMillis) {
        return change(nowMillis, held -> held.renewLease(lease, nowMillis));
    }

    boolean endLease(long lease, long nowMillis) {
        return change(nowMillis, held -> held.endLease(lease));
    }

    void lapseLeases(long nowMillis) {
        change(nowMillis, held -> true);
    }

    private <T> T change(long nowMillis, Function<StoreState, T> step) {
        T result;
        Map<Watch, Changes> woken;
        synchronized (this) {
            long before = state.revision();
            state.lapseLeases(nowMillis);
            result = step.apply(state);
            woken = state.revision() == before ? Map.of() : takeWoken();
        }
        woken.forEach((watch, changes) -> watch.future.complete(changes));
        return result;
    }

    private Map<Watch, Changes> takeWoken() {
        Map<Watch, Changes> woken = new HashMap<>();
        for (Watch watch : watches) {
            List<Change> changes = state.changes(watch.prefix, watch.after);
            if (changes.isEmpty()) {
                watch.after = Math.max(watch.after, state.revision());
            } else {
                woken.put(watch, new Changes(state.revision(), changes));
            }
        }
        watches.removeAll(woken.keySet());
        return woken;
    }

    /**
     * Waits for changes under a prefix. The future is completed by the change, or by {@link #endWatch}.
     */
    CompletableFuture<Changes> watch(String prefix, long after, long nowMillis) {
        return change(nowMillis, held -> {
            List<Change> changes = held.changes(prefix, after);
            if (!changes.isEmpty()) {
                return CompletableFuture.completedFuture(new Changes(held.revision(), changes));
            }
            Watch watch = new Watch(prefix, after);
            watches.add(watch);
            return watch.future;
        });
    }

    /**
     * Ends a waiting watch with an empty answer.
     */
    void endWatch(CompletableFuture<Changes> future) {
        Changes none;
        synchronized (this) {
            watches.removeIf(watch -> watch.future == future);
            none = new Changes(state.revision(), List.of());
        }
        future.complete(none);
    }

    /**
     * Ends all waiting watches with empty answers.
     */
    void endWatches() {
        List<Watch> ended;
        Changes none;
        synchronized (this) {
            ended = new ArrayList<>(watches);
            watches.clear();
            none = new Changes(state.revision(), List.of());
        }
        ended.forEach(watch -> watch.future.complete(none));
    }

    synchronized int waitingWatches() {
        return watches.size();
    }

    synchronized void snapshot(String name) {
        snapshots.put(name, state.copy());
    }

    /**
     * Brings back the state of a snapshot, also its revision, with each lease renewed, and ends all watches.
     */
    boolean restore(String name, long nowMillis) {
        synchronized (this) {
            StoreState older = snapshots.get(name);
            if (older == null) {
                return false;
            }
            state = older.copy();
            state.renewAllLeases(nowMillis);
        }
        endWatches();
        return true;
    }

    /**
     * The keys under a prefix at a revision of the store.
     */
    static final class Listing {
        private final long revision;
        private final NavigableMap<String, StoredValue> values;

        private Listing(long revision, NavigableMap<String, StoredValue> values) {
            this.revision = revision;
            this.values = values;
        }

        long revision() {
            return revision;
        }

        NavigableMap<String, StoredValue> values() {
            return values;
        }
    }

    /**
     * The changes that a watch answers with, at a revision of the store.
     */
    static final class Changes {
        private final long revision;
        private final List<Change> list;

        private Changes(long revision, List<Change> list) {
            this.revision = revision;
            this.list = list;
        }

        long revision() {
            return revision;
        }

        List<Change> list() {
            return list;
        }
    }

    /**
     * One waiting watch.
     */
    private static final class Watch {
        private final String prefix;
        private long after;
        private final CompletableFuture<Changes> future = new CompletableFuture<>();

        private Watch(String prefix, long after) {
            this.prefix = prefix;
            this.after = after;
        }
    }
}
