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
final class PartCleanups {
    private static final long NO_CALL = -1;

    private final List<ChangePlan> waiting = new ArrayList<>();
    private final List<ChangePlan> due = new ArrayList<>();
    private long dueMillis;
    private long call = NO_CALL;

    void add(ChangePlan accepted, long nowMillis) {
        if (waiting.isEmpty() && due.isEmpty()) {
            dueMillis = nowMillis + ConfigurationAcceptor.CLEANUP_DELAY_MILLIS;
        }
        if (!accepted.replaced().isEmpty()) {
            waiting.add(accepted);
        }
    }

    boolean owns(long callId) {
        return callId == call;
    }

    /** Starts the cleanup of all changes that waited for a whole delay, and lets the later ones wait for the next. */
    void startIfDue(long nowMillis, LongSupplier callIds, List<ConfigurationAction> actions) {
        boolean isIdle = waiting.isEmpty() && due.isEmpty();
        if (isIdle || call != NO_CALL || nowMillis < dueMillis) {
            return;
        }
        dueMillis = nowMillis + ConfigurationAcceptor.CLEANUP_DELAY_MILLIS;
        if (!due.isEmpty()) {
            call = callIds.getAsLong();
            actions.add(ConfigurationAction.ReadKey.of(call, ConfigurationKeys.HEAD));
            return;
        }
        due.addAll(waiting);
        waiting.clear();
    }

    void headFound(String text, List<ConfigurationAction> actions) {
        try {
            ConfigurationHead head = ConfigurationDocuments.readHead(text);
            due.forEach(plan -> deleteUnnamed(plan, head, actions));
        } catch (NewerFormatException | IllegalArgumentException ignored) {
            // A head that can't be read may name any version, so that nothing is deleted.
        }
        abandon();
    }

    void abandon() {
        call = NO_CALL;
        due.clear();
        due.addAll(waiting);
        waiting.clear();
    }

    private static void deleteUnnamed(ChangePlan plan, ConfigurationHead head, List<ConfigurationAction> actions) {
        if (head.version() < plan.version().number()) {
            return;
        }
        plan.replaced().forEach((part, old) -> {
            if (!old.equals(head.parts().get(part))) {
                actions.add(ConfigurationAction.DeleteKey.of(ConfigurationKeys.part(part, old), old.revision()));
            }
        });
    }
}
