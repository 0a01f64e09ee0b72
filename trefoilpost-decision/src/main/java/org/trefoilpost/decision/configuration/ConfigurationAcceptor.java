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
    public static final long ANSWER_LIMIT_MILLIS = 10_000;

    /** The time for which a change of unknown outcome is followed up, in milliseconds. */
    public static final long SETTLE_LIMIT_MILLIS = 600_000;

    /** The wait before a failed call is repeated, in milliseconds. */
    public static final long RETRY_INTERVAL_MILLIS = 250;

    /** The wait between two reads that follow up a change of unknown outcome, in milliseconds. */
    public static final long FOLLOW_UP_INTERVAL_MILLIS = 5_000;

    /** The least time for which a replaced version of a part is kept, and between two cleanups, in milliseconds. */
    public static final long CLEANUP_DELAY_MILLIS = 60_000;

    /** The most changes under way at once. */
    public static final int MAX_PENDING_CHANGES = 16;

    private final InForceView view;
    private final List<PendingChange> changes = new ArrayList<>();
    private final PartCleanups cleanups = new PartCleanups();
    private long nextCall;

    /**
     * Constructs an acceptor.
     *
     * @param view  what this entry knows of the configuration in force, not null
     */
    public ConfigurationAcceptor(InForceView view) {
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
            request(request, nowMillis, actions);
        } else if (event instanceof StoreResult.ReadFound found) {
            readFound(found, nowMillis, actions);
        } else if (event instanceof StoreResult.ReadAbsent absent) {
            changeOf(absent.callId()).ifPresent(change -> change.readAbsent(nowMillis, actions));
            abandonCleanup(absent.callId());
        } else if (event instanceof StoreResult.WriteDone done) {
            changeOf(done.callId()).ifPresent(change -> change.writeDone(done.callId(), done.revision(), actions));
        } else if (event instanceof StoreResult.WriteConflict conflict) {
            changeOf(conflict.callId())
                    .ifPresent(change -> change.writeConflict(conflict.callId(), conflict.revision(), actions));
        } else if (event instanceof StoreResult.CallFailed failed) {
            changeOf(failed.callId()).ifPresent(change -> change.callFailed(failed.callId(), nowMillis));
            abandonCleanup(failed.callId());
        }
        goOn(nowMillis, actions);
        return actions;
    }

    private void request(
            ConfigurationEvent.ChangeRequested request, long nowMillis, List<ConfigurationAction> actions) {
        if (changes.size() >= MAX_PENDING_CHANGES) {
            ChangeOutcome outcome = ChangeOutcome.refused(ChangeRefusal.BUSY, view.highestVersionSeen());
            actions.add(ConfigurationAction.AnswerOperator.of(request.change(), outcome));
            return;
        }
        changes.add(new PendingChange(request, view, this::nextCall, nowMillis));
    }

    private void readFound(StoreResult.ReadFound found, long nowMillis, List<ConfigurationAction> actions) {
        changeOf(found.callId()).ifPresent(change -> change.readFound(found, nowMillis, actions));
        if (cleanups.owns(found.callId())) {
            cleanups.headFound(found.value(), actions);
        }
    }

    private void goOn(long nowMillis, List<ConfigurationAction> actions) {
        changes.forEach(change -> change.tick(nowMillis, actions));
        changes.forEach(change -> change.accepted().ifPresent(plan -> cleanups.add(plan, nowMillis)));
        changes.removeIf(PendingChange::isDone);
        cleanups.startIfDue(nowMillis, this::nextCall, actions);
    }

    private void abandonCleanup(long callId) {
        if (cleanups.owns(callId)) {
            cleanups.abandon();
        }
    }

    private Optional<PendingChange> changeOf(long callId) {
        return changes.stream().filter(change -> change.owns(callId)).findFirst();
    }

    private long nextCall() {
        return nextCall++;
    }
}
