package org.trefoilpost.decision.configuration;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.trefoilpost.model.configuration.Configuration;
import org.trefoilpost.model.configuration.ConfigurationPart;
import org.trefoilpost.model.configuration.NewerFormatException;

/**
 * One operator's change on its way: reads the head, writes the changed parts, then the head by compare-and-swap.
 *
 * <p>A compare-and-swap whose answer was lost is settled by reading the head back. While it is unsettled, it may only be
 * repeated as it was, never replaced by another.
 */
final class PendingChange {
    private static final long NO_CALL = -1;

    private enum State {
        READ_HEAD,
        WRITE_PARTS,
        WRITE_HEAD,
        READ_BACK,
        DONE
    }

    private final ChangeId id;
    private final Configuration configuration;
    private final OptionalLong expectedVersion;
    private final ConfigurationView view;
    private final LongSupplier callIds;
    private final long answerDeadlineMillis;
    private final long followUpDeadlineMillis;
    private final Map<Long, ConfigurationPart> partsByCallId = new HashMap<>();
    private final Map<ConfigurationPart, Long> partRevisions = new TreeMap<>();
    private State state = State.READ_HEAD;
    private Optional<ChangeWriteSet> writeSet = Optional.empty();
    private Optional<ChangeWriteSet> acceptedWriteSet = Optional.empty();
    private long headCallId = NO_CALL;
    private long retryAtMillis = Long.MIN_VALUE;
    private boolean isHeadWriteUncertain;
    private boolean isAnswered;
    private boolean hadConflict;

    PendingChange(
            ConfigurationEvent.ChangeRequested request, ConfigurationView view, LongSupplier callIds, long nowMillis) {
        this.id = request.change();
        this.configuration = request.configuration();
        this.expectedVersion = request.expectedVersion();
        this.view = view;
        this.callIds = callIds;
        this.answerDeadlineMillis = nowMillis + ConfigurationAcceptor.ANSWER_TIMEOUT_MILLIS;
        this.followUpDeadlineMillis = nowMillis + ConfigurationAcceptor.FOLLOW_UP_TIMEOUT_MILLIS;
    }

    boolean isDone() {
        return state == State.DONE;
    }

    boolean owns(long callId) {
        return callId == headCallId || partsByCallId.containsKey(callId);
    }

    /** Returns the plan that was accepted by this process's own write or found accepted. */
    Optional<ChangeWriteSet> acceptedWriteSet() {
        return acceptedWriteSet;
    }

    void tick(long nowMillis, List<ConfigurationAction> actions) {
        if (nowMillis >= answerDeadlineMillis && !isAnswered) {
            timeOut(actions);
        }
        if (nowMillis >= followUpDeadlineMillis) {
            state = State.DONE;
        }
        if (state == State.DONE || nowMillis < retryAtMillis) {
            return;
        }
        issueCalls(actions);
    }

    private void timeOut(List<ConfigurationAction> actions) {
        if (state == State.READ_HEAD || state == State.WRITE_PARTS) {
            ChangeRefusal reason = hadConflict ? ChangeRefusal.CONTENTION : ChangeRefusal.STORE_UNAVAILABLE;
            refuse(reason, view.highestVersionSeen(), actions);
            return;
        }
        answer(ChangeOutcome.unknown(writeSet.orElseThrow().version().number()), actions);
    }

    private void issueCalls(List<ConfigurationAction> actions) {
        if (state == State.WRITE_PARTS) {
            writeParts(actions);
        } else if (headCallId == NO_CALL && state == State.WRITE_HEAD) {
            writeHead(actions);
        } else if (headCallId == NO_CALL) {
            headCallId = callIds.getAsLong();
            actions.add(ConfigurationAction.ReadKey.of(headCallId, ConfigurationKeys.HEAD));
        }
    }

    private void writeParts(List<ConfigurationAction> actions) {
        ChangeWriteSet present = writeSet.orElseThrow();
        present.changed().forEach((part, text) -> {
            if (!partRevisions.containsKey(part) && !partsByCallId.containsValue(part)) {
                long callId = callIds.getAsLong();
                partsByCallId.put(callId, part);
                String key = ConfigurationKeys.part(part, present.version());
                actions.add(ConfigurationAction.WriteKey.of(callId, key, 0, text));
            }
        });
    }

    private void writeHead(List<ConfigurationAction> actions) {
        ChangeWriteSet present = writeSet.orElseThrow();
        headCallId = callIds.getAsLong();
        String text = ConfigurationDocumentCodec.writeHead(present.newHead(partRevisions));
        actions.add(ConfigurationAction.WriteKey.of(headCallId, ConfigurationKeys.HEAD, present.baseRevision(), text));
    }

    void readFound(StoreResult.ReadFound found, long nowMillis, List<ConfigurationAction> actions) {
        headCallId = NO_CALL;
        delayFollowUp(nowMillis);
        try {
            handleHead(ConfigurationDocumentCodec.readHead(found.value()), found.revision(), actions);
        } catch (NewerFormatException e) {
            handleUnreadableHead(ChangeRefusal.NEWER_FORMAT, actions);
        } catch (IllegalArgumentException e) {
            handleUnreadableHead(ChangeRefusal.UNREADABLE_HEAD, actions);
        }
    }

    void readAbsent(long nowMillis, List<ConfigurationAction> actions) {
        headCallId = NO_CALL;
        delayFollowUp(nowMillis);
        handleHead(ConfigurationHead.EMPTY, 0, actions);
    }

    /** Spaces the reads of a change whose operator was already told that its outcome is unknown. */
    private void delayFollowUp(long nowMillis) {
        if (isAnswered) {
            retryAtMillis = nowMillis + ConfigurationAcceptor.FOLLOW_UP_INTERVAL_MILLIS;
        }
    }

    private void handleHead(ConfigurationHead head, long revision, List<ConfigurationAction> actions) {
        if (state == State.READ_HEAD) {
            prepareWrites(head, revision, actions);
        } else if (state == State.READ_BACK) {
            resolveUncertainWrite(head, revision, actions);
        }
    }

    private void handleUnreadableHead(ChangeRefusal refusal, List<ConfigurationAction> actions) {
        if (state == State.READ_HEAD) {
            refuse(refusal, view.highestVersionSeen(), actions);
        } else {
            endWithUnknownOutcome(actions);
        }
    }

    private void prepareWrites(ConfigurationHead head, long revision, List<ConfigurationAction> actions) {
        ChangeWriteSet next = ChangeWriteSet.of(head, revision, id, configuration, view);
        if (expectedVersion.isPresent() && expectedVersion.getAsLong() != next.versionInForce()) {
            refuse(ChangeRefusal.CONFLICT, next.versionInForce(), actions);
            return;
        }
        if (isAnswered) {
            refuse(ChangeRefusal.CONTENTION, next.versionInForce(), actions);
            return;
        }
        if (next.isUnchanged()) {
            answer(ChangeOutcome.accepted(head.version()), actions);
            state = State.DONE;
            return;
        }
        writeSet = Optional.of(next);
        state = next.changed().isEmpty() ? State.WRITE_HEAD : State.WRITE_PARTS;
        issueCalls(actions);
    }

    private void resolveUncertainWrite(ConfigurationHead head, long revision, List<ConfigurationAction> actions) {
        ChangeWriteSet present = writeSet.orElseThrow();
        Optional<Long> made = head.versionOf(id);
        if (made.isPresent()) {
            accept(
                    made.get(),
                    head.version() == made.get() ? OptionalLong.of(revision) : OptionalLong.empty(),
                    actions);
        } else if (revision == present.baseRevision()) {
            repeatHeadWrite(actions);
        } else if (revision < present.baseRevision()
                || !head.historyCovers(present.version().number())) {
            endWithUnknownOutcome(actions);
        } else {
            deleteParts(actions);
            startOver();
            prepareWrites(head, revision, actions);
        }
    }

    private void repeatHeadWrite(List<ConfigurationAction> actions) {
        if (!isAnswered) {
            state = State.WRITE_HEAD;
            issueCalls(actions);
        }
    }

    void writeDone(long callId, long revision, List<ConfigurationAction> actions) {
        if (callId == headCallId) {
            headCallId = NO_CALL;
            accept(writeSet.orElseThrow().version().number(), OptionalLong.of(revision), actions);
        } else {
            recordPartWrite(callId, revision, actions);
        }
    }

    private void recordPartWrite(long callId, long revision, List<ConfigurationAction> actions) {
        partRevisions.put(partsByCallId.remove(callId), revision);
        if (state == State.WRITE_PARTS
                && partRevisions
                        .keySet()
                        .containsAll(writeSet.orElseThrow().changed().keySet())) {
            state = State.WRITE_HEAD;
            issueCalls(actions);
        }
    }

    /** Handles a refused write. A part's key is this change's own, so that an existing one was written by it before. */
    void writeConflict(long callId, long revision, List<ConfigurationAction> actions) {
        if (callId != headCallId) {
            recordPartWrite(callId, revision, actions);
            return;
        }
        headCallId = NO_CALL;
        hadConflict = true;
        if (isHeadWriteUncertain) {
            state = State.READ_BACK;
        } else {
            deleteParts(actions);
            startOver();
        }
        issueCalls(actions);
    }

    void callFailed(long callId, long nowMillis) {
        retryAtMillis = nowMillis + ConfigurationAcceptor.RETRY_INTERVAL_MILLIS;
        if (callId != headCallId) {
            partsByCallId.remove(callId);
            return;
        }
        headCallId = NO_CALL;
        if (state == State.WRITE_HEAD) {
            isHeadWriteUncertain = true;
            state = State.READ_BACK;
        }
    }

    private void startOver() {
        writeSet = Optional.empty();
        partRevisions.clear();
        partsByCallId.clear();
        isHeadWriteUncertain = false;
        state = State.READ_HEAD;
    }

    private void accept(long version, OptionalLong headRevision, List<ConfigurationAction> actions) {
        acceptedWriteSet = writeSet;
        state = State.DONE;
        headRevision.ifPresent(revision -> actions.add(
                ConfigurationAction.PushToPeers.of(writeSet.orElseThrow().toUpdate(partRevisions, revision))));
        answer(ChangeOutcome.accepted(version), actions);
    }

    private void refuse(ChangeRefusal reason, long versionInForce, List<ConfigurationAction> actions) {
        deleteParts(actions);
        state = State.DONE;
        answer(ChangeOutcome.refused(reason, versionInForce), actions);
    }

    private void endWithUnknownOutcome(List<ConfigurationAction> actions) {
        state = State.DONE;
        if (!isAnswered) {
            answer(ChangeOutcome.unknown(writeSet.orElseThrow().version().number()), actions);
        }
    }

    private void answer(ChangeOutcome outcome, List<ConfigurationAction> actions) {
        isAnswered = true;
        actions.add(ConfigurationAction.AnswerOperator.of(id, outcome));
    }

    private void deleteParts(List<ConfigurationAction> actions) {
        writeSet.ifPresent(present -> partRevisions.forEach((part, revision) -> actions.add(
                ConfigurationAction.DeleteKey.of(ConfigurationKeys.part(part, present.version()), revision))));
    }
}
