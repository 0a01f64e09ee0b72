package org.trefoilpost.decision.configuration;

import java.util.List;
import java.util.SortedMap;
import org.trefoilpost.model.configuration.ConfigurationPart;
import org.trefoilpost.model.configuration.NewerFormatException;

/**
 * Deletes the versions of parts that an accepted change replaced, after entries had time to move on.
 *
 * <p>The head is read first, since a restored store may name the old versions again.
 */
final class PartCleanup {
    private static final long NO_CALL = -1;

    private final long version;
    private final SortedMap<ConfigurationPart, ChangeVersion> replaced;
    private final long dueMillis;
    private long call = NO_CALL;
    private boolean isDone;

    PartCleanup(ChangePlan accepted, long dueMillis) {
        this.version = accepted.version().number();
        this.replaced = accepted.replaced();
        this.dueMillis = dueMillis;
        this.isDone = replaced.isEmpty();
    }

    boolean isDone() {
        return isDone;
    }

    boolean owns(long callId) {
        return callId == call;
    }

    boolean isDue(long nowMillis) {
        return !isDone && call == NO_CALL && nowMillis >= dueMillis;
    }

    void start(long callId, List<ConfigurationAction> actions) {
        call = callId;
        actions.add(ConfigurationAction.ReadKey.of(callId, ConfigurationKeys.HEAD));
    }

    void headFound(String text, List<ConfigurationAction> actions) {
        isDone = true;
        try {
            deleteUnnamed(ConfigurationDocuments.readHead(text), actions);
        } catch (NewerFormatException | IllegalArgumentException ignored) {
            // A head that can't be read may name any version, so that nothing is deleted.
        }
    }

    private void deleteUnnamed(ConfigurationHead head, List<ConfigurationAction> actions) {
        if (head.version() < version) {
            return;
        }
        replaced.forEach((part, old) -> {
            if (!old.equals(head.parts().get(part))) {
                actions.add(ConfigurationAction.DeleteKey.of(ConfigurationKeys.part(part, old), old.revision()));
            }
        });
    }

    void abandon() {
        isDone = true;
    }
}
