package org.trefoilpost.decision.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import org.trefoilpost.model.configuration.NewerFormatException;

/**
 * Deletes the versions of parts that accepted changes replaced, after entries had time to move on.
 *
 * <p>The head is read first, once for all that is due, since a restored store may name the old versions again.
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

    /** Starts the cleanup of all changes that waited for a whole delay, and lets the later ones wait for the next. */
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
            currentBatch.forEach(plan -> deleteUnreferenced(plan, head, actions));
        } catch (NewerFormatException | IllegalArgumentException ignored) {
            // A head that can't be read may name any version, so that nothing is deleted.
        }
        endBatch();
    }

    void endBatch() {
        headCallId = NO_CALL;
        currentBatch.clear();
        currentBatch.addAll(nextBatch);
        nextBatch.clear();
    }

    private static void deleteUnreferenced(
            ChangeWriteSet plan, ConfigurationHead head, List<ConfigurationAction> actions) {
        if (head.version() < plan.version().number()) {
            return;
        }
        plan.replacedVersions().forEach((part, old) -> {
            if (!old.equals(head.parts().get(part))) {
                actions.add(ConfigurationAction.DeleteKey.of(ConfigurationKeys.part(part, old), old.revision()));
            }
        });
    }
}
