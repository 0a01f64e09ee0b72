package org.trefoilpost.bench.claim;

import java.util.HashMap;
import java.util.Map;
import org.trefoilpost.decision.claim.DeleteKey;
import org.trefoilpost.decision.claim.KeyDeleted;
import org.trefoilpost.decision.claim.KeyRead;
import org.trefoilpost.decision.claim.KeyWritten;
import org.trefoilpost.decision.claim.ReadKey;
import org.trefoilpost.decision.claim.StoreCall;
import org.trefoilpost.decision.claim.StoreConflicted;
import org.trefoilpost.decision.claim.StoreReply;
import org.trefoilpost.decision.claim.WriteKey;

/**
 * A key-value store in memory that counts its calls and their bytes.
 */
final class CountingStore {
    private static final byte[] NOTHING = new byte[0];

    private final Map<String, byte[]> values = new HashMap<>();
    private final Map<String, Long> revisions = new HashMap<>();
    private long lastRevision;
    private StoreCounts counts = new StoreCounts();

    StoreCounts counts() {
        return counts;
    }

    void resetCounts() {
        counts = new StoreCounts();
    }

    StoreReply apply(StoreCall call) {
        if (call instanceof ReadKey read) {
            byte[] value = values.getOrDefault(read.storeKey(), NOTHING);
            counts.addRead(value.length);
            return KeyRead.of(read.callId(), revisionOf(read.storeKey()), value);
        }
        return call instanceof WriteKey write ? write(write) : delete((DeleteKey) call);
    }

    private StoreReply write(WriteKey write) {
        counts.addWrite(write.value().length);
        if (revisionOf(write.storeKey()) != write.expectedRevision()) {
            return StoreConflicted.of(write.callId(), revisionOf(write.storeKey()));
        }
        values.put(write.storeKey(), write.value());
        revisions.put(write.storeKey(), ++lastRevision);
        return KeyWritten.of(write.callId(), lastRevision);
    }

    private StoreReply delete(DeleteKey delete) {
        counts.addDelete();
        if (revisionOf(delete.storeKey()) != delete.expectedRevision()) {
            return StoreConflicted.of(delete.callId(), revisionOf(delete.storeKey()));
        }
        values.remove(delete.storeKey());
        revisions.remove(delete.storeKey());
        return KeyDeleted.of(delete.callId());
    }

    private long revisionOf(String key) {
        return revisions.getOrDefault(key, 0L);
    }
}
