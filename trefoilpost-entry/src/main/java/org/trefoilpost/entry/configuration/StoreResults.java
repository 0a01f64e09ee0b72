package org.trefoilpost.entry.configuration;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.trefoilpost.decision.configuration.StoreResult;
import org.trefoilpost.entry.platform.StoredValue;
import org.trefoilpost.entry.platform.WriteOutcome;

/**
 * Converts results of calls to the key-value service to events of the configuration's state machines.
 */
final class StoreResults {
    private StoreResults() {}

    static StoreResult read(long callId, Optional<StoredValue> value) {
        return value.<StoreResult>map(found -> StoreResult.ReadFound.of(
                        callId, found.revision(), new String(found.bytes(), StandardCharsets.UTF_8)))
                .orElseGet(() -> StoreResult.ReadAbsent.of(callId));
    }

    static StoreResult written(long callId, WriteOutcome outcome) {
        return outcome.isWritten()
                ? StoreResult.WriteDone.of(callId, outcome.revision())
                : StoreResult.WriteConflict.of(callId, outcome.revision());
    }

    static StoreResult failed(long callId) {
        return StoreResult.CallFailed.of(callId);
    }
}
