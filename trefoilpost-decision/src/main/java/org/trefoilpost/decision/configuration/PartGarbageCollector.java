package org.trefoilpost.decision.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import org.trefoilpost.model.configuration.NewerFormatException;

/**
 * Deletes versions of parts that accepted changes replaced, after a delay in which entries can stop reading them.
 *
 * <p>The head is read first, once a batch, since the head of a restored store may name the old versions again.
 */
final class PartGarbageCollector {
    private static final long NO_CALL = -1;

    private final List<ChangeWriteSet> nextBatch = new ArrayList<>();
    private final List<ChangeWriteSet> currentBatch = new ArrayList<>();
    private long batchDueMillis;
    private long headCallId = NO_CALL;

    void add(ChangeWriteSet accepted, long nowMillis) {
        if (nextBatch.isEmpty() && currentBatch.isEmpty()) {
            batchDueMillis = nowMillis + ConfigurationAcceptor.CLEANUP_DELAY_MILLIS;
        }
        if (!accepted.replacedVersions().isEmpty()) {
            nextBatch.add(accepted);
        }
    }

    boolean owns(long callId) {
        return callId == headCallId;
    }

    /** Reads the head for the batch that has waited a whole delay, or else makes the next batch the current one. */
    void advanceIfDue(long nowMillis, LongSupplier callIds, List<ConfigurationAction> actions) {
        boolean isIdle = nextBatch.isEmpty() && currentBatch.isEmpty();
        if (isIdle || headCallId != NO_CALL || nowMillis < batchDueMillis) {
            return;
        }
        batchDueMillis = nowMillis + ConfigurationAcceptor.CLEANUP_DELAY_MILLIS;
        if (!currentBatch.isEmpty()) {
            headCallId = callIds.getAsLong();
            actions.add(ConfigurationAction.ReadKey.of(headCallId, ConfigurationKeys.HEAD));
            return;
        }
        currentBatch.addAll(nextBatch);
        nextBatch.clear();
    }

    void headFound(String text, List<ConfigurationAction> actions) {
        try {
            ConfigurationHead head = ConfigurationDocumentCodec.readHead(text);
            currentBatch.forEach(writeSet -> deleteUnreferenced(writeSet, head, actions));
        } catch (NewerFormatException | IllegalArgumentException ignored) {
            // An unreadable head may name any version, so nothing is deleted.
        }
        endBatch();
    }

    /** Drops the current batch, whether its versions were deleted or not, and makes the next batch the current one. */
    void endBatch() {
        headCallId = NO_CALL;
        currentBatch.clear();
        currentBatch.addAll(nextBatch);
        nextBatch.clear();
    }

    private static void deleteUnreferenced(
            ChangeWriteSet writeSet, ConfigurationHead head, List<ConfigurationAction> actions) {
        if (head.version() < writeSet.version().number()) {
            return;
        }
        writeSet.replacedVersions().forEach((part, replaced) -> {
            if (!replaced.equals(head.parts().get(part))) {
                actions.add(
                        ConfigurationAction.DeleteKey.of(ConfigurationKeys.part(part, replaced), replaced.revision()));
            }
        });
    }
}
