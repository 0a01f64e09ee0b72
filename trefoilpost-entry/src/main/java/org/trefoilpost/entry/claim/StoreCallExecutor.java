package org.trefoilpost.entry.claim;

import java.util.Optional;
import java.util.function.Consumer;
import org.trefoilpost.decision.claim.DeleteKey;
import org.trefoilpost.decision.claim.KeyDeleted;
import org.trefoilpost.decision.claim.KeyRead;
import org.trefoilpost.decision.claim.KeyWritten;
import org.trefoilpost.decision.claim.ReadKey;
import org.trefoilpost.decision.claim.StoreCall;
import org.trefoilpost.decision.claim.StoreConflicted;
import org.trefoilpost.decision.claim.StoreFailed;
import org.trefoilpost.decision.claim.StoreReply;
import org.trefoilpost.decision.claim.WriteKey;
import org.trefoilpost.entry.metrics.EntryMetrics;
import org.trefoilpost.entry.platform.KeyValueStore;
import org.trefoilpost.entry.platform.StoredValue;
import org.trefoilpost.entry.platform.WriteOutcome;

/**
 * Carries out a shard's calls to the key-value service.
 */
final class StoreCallExecutor {
    private static final String CALLS = "trefoilpost.claims.store.calls";

    private final KeyValueStore store;
    private final Consumer<StoreReply> replies;
    private final EntryMetrics metrics;

    StoreCallExecutor(KeyValueStore store, Consumer<StoreReply> replies, EntryMetrics metrics) {
        this.store = store;
        this.replies = replies;
        this.metrics = metrics;
    }

    /**
     * Carries out a call; its reply comes on another thread.
     *
     * @param call  the call, not null
     */
    void execute(StoreCall call) {
        if (call instanceof ReadKey read) {
            metrics.count(CALLS, "read");
            store.read(read.storeKey())
                    .whenComplete((value, failure) -> replies.accept(
                            failure != null ? StoreFailed.of(read.callId()) : read(read.callId(), value)));
        } else if (call instanceof WriteKey write) {
            metrics.count(CALLS, "write");
            store.write(write.storeKey(), write.expectedRevision(), write.value(), Optional.empty())
                    .whenComplete((outcome, failure) -> replies.accept(
                            failure != null ? StoreFailed.of(write.callId()) : written(write.callId(), outcome)));
        } else if (call instanceof DeleteKey delete) {
            metrics.count(CALLS, "delete");
            store.delete(delete.storeKey(), delete.expectedRevision())
                    .whenComplete((outcome, failure) -> replies.accept(
                            failure != null ? StoreFailed.of(delete.callId()) : deleted(delete.callId(), outcome)));
        }
    }

    private static StoreReply read(long callId, Optional<StoredValue> value) {
        return KeyRead.of(
                callId,
                value.map(StoredValue::revision).orElse(0L),
                value.map(StoredValue::bytes).orElse(new byte[0]));
    }

    private static StoreReply written(long callId, WriteOutcome outcome) {
        return outcome.isWritten()
                ? KeyWritten.of(callId, outcome.revision())
                : StoreConflicted.of(callId, outcome.revision());
    }

    private static StoreReply deleted(long callId, WriteOutcome outcome) {
        return outcome.isWritten() ? KeyDeleted.of(callId) : StoreConflicted.of(callId, outcome.revision());
    }
}
