package org.trefoilpost.standins.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * The keys, deletions and leases of the key-value service, without threads, clocks or I/O.
 */
final class StoreState {
    private final NavigableMap<String, StoredValue> values;
    private final NavigableMap<String, Long> deletions;
    private final NavigableMap<Long, Change> changes;
    private final Map<Long, Lease> leases;
    private long revision;
    private long lastLease;

    private StoreState(StoreState source) {
        this.values = new TreeMap<>(source.values);
        this.deletions = new TreeMap<>(source.deletions);
        this.changes = new TreeMap<>(source.changes);
        this.leases = new HashMap<>(source.leases);
        this.revision = source.revision;
        this.lastLease = source.lastLease;
    }

    private StoreState() {
        this.values = new TreeMap<>();
        this.deletions = new TreeMap<>();
        this.changes = new TreeMap<>();
        this.leases = new HashMap<>();
    }

    static StoreState empty() {
        return new StoreState();
    }

    StoreState copy() {
        return new StoreState(this);
    }

    long revision() {
        return revision;
    }

    Optional<StoredValue> read(String key) {
        return Optional.ofNullable(values.get(key));
    }

    NavigableMap<String, StoredValue> under(String prefix) {
        return values.subMap(prefix, true, endOf(prefix), false);
    }

    WriteOutcome write(String key, long expected, OptionalLong lease, byte[] value) {
        long present = revisionOf(key);
        if (present != expected) {
            return WriteOutcome.of(WriteOutcome.Kind.CONFLICT, present);
        }
        if (lease.isPresent() && !leases.containsKey(lease.getAsLong())) {
            return WriteOutcome.of(WriteOutcome.Kind.NO_LEASE, present);
        }
        noteChange(key, false);
        values.put(key, StoredValue.of(value, revision, lease));
        deletions.remove(key);
        return WriteOutcome.of(WriteOutcome.Kind.DONE, revision);
    }

    WriteOutcome delete(String key, long expected) {
        long present = revisionOf(key);
        if (present == 0) {
            return WriteOutcome.of(WriteOutcome.Kind.NO_KEY, 0);
        }
        if (present != expected) {
            return WriteOutcome.of(WriteOutcome.Kind.CONFLICT, present);
        }
        remove(key);
        return WriteOutcome.of(WriteOutcome.Kind.DONE, revision);
    }

    private void remove(String key) {
        noteChange(key, true);
        values.remove(key);
        deletions.put(key, revision);
    }

    private void noteChange(String key, boolean deleted) {
        changes.remove(deletions.getOrDefault(key, revisionOf(key)));
        revision++;
        changes.put(revision, Change.of(key, revision, deleted));
    }

    private long revisionOf(String key) {
        return read(key).map(StoredValue::revision).orElse(0L);
    }

    /**
     * Returns the latest change of each key under a prefix that changed after a revision, by revision.
     */
    List<Change> changes(String prefix, long after) {
        return changes.tailMap(after, false).values().stream()
                .filter(change -> change.key().startsWith(prefix))
                .toList();
    }

    private static String endOf(String prefix) {
        return prefix + Character.MAX_VALUE;
    }

    long openLease(long ttlMillis, long nowMillis) {
        lastLease++;
        leases.put(lastLease, Lease.of(ttlMillis, nowMillis));
        return lastLease;
    }

    boolean renewLease(long lease, long nowMillis) {
        return leases.computeIfPresent(lease, (id, held) -> held.renewed(nowMillis)) != null;
    }

    void renewAllLeases(long nowMillis) {
        leases.replaceAll((id, held) -> held.renewed(nowMillis));
    }

    boolean endLease(long lease) {
        if (leases.remove(lease) == null) {
            return false;
        }
        keysOf(lease).forEach(this::remove);
        return true;
    }

    private List<String> keysOf(long lease) {
        List<String> keys = new ArrayList<>();
        values.forEach((key, value) -> {
            if (value.lease().isPresent() && value.lease().getAsLong() == lease) {
                keys.add(key);
            }
        });
        return keys;
    }

    void lapseLeases(long nowMillis) {
        List<Long> lapsed = new ArrayList<>();
        leases.forEach((id, lease) -> {
            if (lease.hasLapsed(nowMillis)) {
                lapsed.add(id);
            }
        });
        lapsed.forEach(this::endLease);
    }
}
