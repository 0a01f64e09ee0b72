package org.trefoilpost.decision.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Accepts operators' changes of the configuration at one entry.
 *
 * <p>A change is accepted by one compare-and-swap of the head, so that of two changes to the same version one wins. Not
 * safe for use by several threads.
 */
public final class ConfigurationAcceptor {
    /** The time within which an operator is answered, in milliseconds. */
    public static final long ANSWER_TIMEOUT_MILLIS = 10_000;

    /** The time for which a change of unknown outcome is followed up, in milliseconds. */
    public static final long FOLLOW_UP_TIMEOUT_MILLIS = 600_000;

    /** The wait before a failed call is repeated, in milliseconds. */
    public static final long RETRY_INTERVAL_MILLIS = 250;

    /** The wait between two reads that follow up a change of unknown outcome, in milliseconds. */
    public static final long FOLLOW_UP_INTERVAL_MILLIS = 5_000;

    /** The least time for which a replaced version of a part is kept, and between two cleanups, in milliseconds. */
    public static final long CLEANUP_DELAY_MILLIS = 60_000;

    /** The most changes under way at once. */
    public static final int MAX_PENDING_CHANGES = 16;

    private final ConfigurationView view;
    private final List<PendingChange> pendingChanges = new ArrayList<>();
    private final PartGarbageCollector garbageCollector = new PartGarbageCollector();
    private long nextCallId;

    /**
     * Constructs an acceptor.
     *
     * @param view  what this entry knows of the configuration in force, not null
     */
    public ConfigurationAcceptor(ConfigurationView view) {
        this.view = Objects.requireNonNull(view, "view");
    }

    /**
     * Handles an event.
     *
     * @param event  the event, not null
     * @param nowMillis  the present time, in milliseconds
     * @return what has to be done, in this order, not null
     */
    public List<ConfigurationAction> step(ConfigurationEvent event, long nowMillis) {
        List<ConfigurationAction> actions = new ArrayList<>();
        if (event instanceof ConfigurationEvent.ChangeRequested request) {
            addChange(request, nowMillis, actions);
        } else if (event instanceof StoreResult.ReadFound found) {
            readFound(found, nowMillis, actions);
        } else if (event instanceof StoreResult.ReadAbsent absent) {
            findChangeByCallId(absent.callId()).ifPresent(change -> change.readAbsent(nowMillis, actions));
            endCleanupBatch(absent.callId());
        } else if (event instanceof StoreResult.WriteDone done) {
            findChangeByCallId(done.callId())
                    .ifPresent(change -> change.writeDone(done.callId(), done.revision(), actions));
        } else if (event instanceof StoreResult.WriteConflict conflict) {
            findChangeByCallId(conflict.callId())
                    .ifPresent(change -> change.writeConflict(conflict.callId(), conflict.revision(), actions));
        } else if (event instanceof StoreResult.CallFailed failed) {
            findChangeByCallId(failed.callId()).ifPresent(change -> change.callFailed(failed.callId(), nowMillis));
            endCleanupBatch(failed.callId());
        }
        advanceChanges(nowMillis, actions);
        return actions;
    }

    private void addChange(
            ConfigurationEvent.ChangeRequested request, long nowMillis, List<ConfigurationAction> actions) {
        if (pendingChanges.size() >= MAX_PENDING_CHANGES) {
            ChangeOutcome outcome = ChangeOutcome.refused(ChangeRefusal.BUSY, view.highestVersionSeen());
            actions.add(ConfigurationAction.AnswerOperator.of(request.change(), outcome));
            return;
        }
        pendingChanges.add(new PendingChange(request, view, this::nextCallId, nowMillis));
    }

    private void readFound(StoreResult.ReadFound found, long nowMillis, List<ConfigurationAction> actions) {
        findChangeByCallId(found.callId()).ifPresent(change -> change.readFound(found, nowMillis, actions));
        if (garbageCollector.owns(found.callId())) {
            garbageCollector.headFound(found.value(), actions);
        }
    }

    private void advanceChanges(long nowMillis, List<ConfigurationAction> actions) {
        pendingChanges.forEach(change -> change.tick(nowMillis, actions));
        pendingChanges.forEach(
                change -> change.acceptedWriteSet().ifPresent(plan -> garbageCollector.add(plan, nowMillis)));
        pendingChanges.removeIf(PendingChange::isDone);
        garbageCollector.advanceIfDue(nowMillis, this::nextCallId, actions);
    }

    private void endCleanupBatch(long callId) {
        if (garbageCollector.owns(callId)) {
            garbageCollector.endBatch();
        }
    }

    private Optional<PendingChange> findChangeByCallId(long callId) {
        return pendingChanges.stream().filter(change -> change.owns(callId)).findFirst();
    }

    private long nextCallId() {
        return nextCallId++;
    }
}
