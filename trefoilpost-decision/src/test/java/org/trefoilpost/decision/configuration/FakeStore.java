package org.trefoilpost.decision.configuration;

import java.util.Map;
import java.util.TreeMap;

/**
 * Key-value service in memory, with the compare-and-swap of the real one.
 */
final class FakeStore {
    private final Map<String, StoreResult.ReadFound> values = new TreeMap<>();
    private long revision;
    private long bytesWritten;
    private long bytesRead;
    private int callCount;

    FakeStore() {}

    FakeStore(FakeStore other) {
        values.putAll(other.values);
        revision = other.revision;
    }

    void restore(FakeStore backup) {
        values.clear();
        values.putAll(backup.values);
        revision = backup.revision;
    }

    long revision() {
        return revision;
    }

    long headRevision() {
        return values.containsKey(ConfigurationKeys.HEAD)
                ? values.get(ConfigurationKeys.HEAD).revision()
                : 0;
    }

    ConfigurationHead head() {
        return values.containsKey(ConfigurationKeys.HEAD)
                ? ConfigurationDocumentCodec.readHead(
                        values.get(ConfigurationKeys.HEAD).value())
                : ConfigurationHead.EMPTY;
    }

    void put(String key, String value) {
        revision++;
        values.put(key, StoreResult.ReadFound.of(0, revision, value));
    }

    boolean containsKey(String key) {
        return values.containsKey(key);
    }

    long partCount() {
        return values.keySet().stream()
                .filter(key -> key.startsWith(ConfigurationKeys.PARTS_PREFIX))
                .count();
    }

    long bytesWritten() {
        return bytesWritten;
    }

    long bytesRead() {
        return bytesRead;
    }

    int callCount() {
        return callCount;
    }

    StoreResult apply(ConfigurationAction action) {
        callCount++;
        if (action instanceof ConfigurationAction.ReadKey read) {
            return read(read);
        }
        if (action instanceof ConfigurationAction.WriteKey write) {
            return write(write);
        }
        ConfigurationAction.DeleteKey delete = (ConfigurationAction.DeleteKey) action;
        if (revisionOf(delete.key()) == delete.expectedRevision()) {
            values.remove(delete.key());
        }
        return StoreResult.WriteDone.of(-2, revision);
    }

    private StoreResult read(ConfigurationAction.ReadKey read) {
        StoreResult.ReadFound found = values.get(read.key());
        if (found == null) {
            return StoreResult.ReadAbsent.of(read.callId());
        }
        bytesRead += found.value().length();
        return StoreResult.ReadFound.of(read.callId(), found.revision(), found.value());
    }

    private StoreResult write(ConfigurationAction.WriteKey write) {
        long present = revisionOf(write.key());
        if (present != write.expectedRevision()) {
            return StoreResult.WriteConflict.of(write.callId(), present);
        }
        bytesWritten += write.value().length();
        put(write.key(), write.value());
        return StoreResult.WriteDone.of(write.callId(), revision);
    }

    private long revisionOf(String key) {
        return values.containsKey(key) ? values.get(key).revision() : 0;
    }
}
