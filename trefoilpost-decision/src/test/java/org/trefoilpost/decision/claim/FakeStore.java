package org.trefoilpost.decision.claim;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** An in-memory key-value store with compare-and-swap, which can be restored to an earlier state. */
final class FakeStore {
    private final Map<String, Value> values = new TreeMap<>();
    private Map<String, Value> backup = Map.of();
    private long revision;
    private long reads;
    private long writes;

    StoreReply apply(StoreCall call) {
        if (call instanceof ReadKey read) {
            reads++;
            Value value = values.getOrDefault(read.storeKey(), Value.ABSENT);
            return KeyRead.of(read.callId(), value.revision, value.bytes);
        }
        writes++;
        if (call instanceof WriteKey write) {
            return write(write);
        }
        DeleteKey delete = (DeleteKey) call;
        long present = revisionOf(delete.storeKey());
        if (present != delete.expectedRevision()) {
            return StoreConflicted.of(delete.callId(), present);
        }
        values.remove(delete.storeKey());
        return KeyDeleted.of(delete.callId());
    }

    private StoreReply write(WriteKey write) {
        long present = revisionOf(write.storeKey());
        if (present != write.expectedRevision()) {
            return StoreConflicted.of(write.callId(), present);
        }
        put(write.storeKey(), write.value());
        return KeyWritten.of(write.callId(), revision);
    }

    void put(String key, byte[] bytes) {
        values.put(key, new Value(++revision, bytes));
    }

    void backUp() {
        backup = new HashMap<>(values);
    }

    /** Restores the values and revisions of the backup. New revisions continue from the highest ever used. */
    void restore() {
        values.clear();
        values.putAll(backup);
    }

    Map<String, Value> values() {
        return values;
    }

    byte[] bytes(String key) {
        return values.get(key).bytes;
    }

    long revisionOf(String key) {
        return values.getOrDefault(key, Value.ABSENT).revision;
    }

    long reads() {
        return reads;
    }

    long writes() {
        return writes;
    }

    /** A value with its revision. */
    static final class Value {
        private static final Value ABSENT = new Value(0, new byte[0]);

        private final long revision;
        private final byte[] bytes;

        private Value(long revision, byte[] bytes) {
            this.revision = revision;
            this.bytes = bytes;
        }
    }
}
