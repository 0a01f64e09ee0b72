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
    private final InForceView view;
    private final LongSupplier callIds;
    private final long answerByMillis;
    private final long settleByMillis;
    private final Map<Long, ConfigurationPart> partCalls = new HashMap<>();
    private final Map<ConfigurationPart, Long> revisions = new TreeMap<>();
    private State state = State.READ_HEAD;
    private Optional<ChangePlan> plan = Optional.empty();
    private Optional<ChangePlan> accepted = Optional.empty();
    private long headCall = NO_CALL;
    private long retryMillis = Long.MIN_VALUE;
    private boolean isDoubtful;
    private boolean isAnswered;
    private boolean hadConflict;

    PendingChange(ConfigurationEvent.ChangeRequested request, InForceView view, LongSupplier callIds, long nowMillis) {
        this.id = request.change();
        this.configuration = request.configuration();
        this.expectedVersion = request.expectedVersion();
        this.view = view;
        this.callIds = callIds;
        this.answerByMillis = nowMillis + ConfigurationAcceptor.ANSWER_LIMIT_MILLIS;
        this.settleByMillis = nowMillis + ConfigurationAcceptor.SETTLE_LIMIT_MILLIS;
    }

    boolean isDone() {
        return state == State.DONE;
    }

    boolean owns(long callId) {
        return callId == headCall || partCalls.containsKey(callId);
    }

    /** Returns the plan that was accepted by this process's own write or found accepted. */
    Optional<ChangePlan> accepted() {
        return accepted;
    }

    void tick(long nowMillis, List<ConfigurationAction> actions) {
        if (nowMillis >= answerByMillis && !isAnswered) {
            timeOut(actions);
        }
        if (nowMillis >= settleByMillis) {
            state = State.DONE;
        }
        if (state == State.DONE || nowMillis < retryMillis) {
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
        answer(ChangeOutcome.unknown(plan.orElseThrow().version().number()), actions);
    }

    private void issueCalls(List<ConfigurationAction> actions) {
        if (state == State.WRITE_PARTS) {
            writeParts(actions);
        } else if (headCall == NO_CALL && state == State.WRITE_HEAD) {
            writeHead(actions);
        } else if (headCall == NO_CALL) {
            headCall = callIds.getAsLong();
            actions.add(ConfigurationAction.ReadKey.of(headCall, ConfigurationKeys.HEAD));
        }
    }

    private void writeParts(List<ConfigurationAction> actions) {
        ChangePlan present = plan.orElseThrow();
        present.changed().forEach((part, text) -> {
            if (!revisions.containsKey(part) && !partCalls.containsValue(part)) {
                long callId = callIds.getAsLong();
                partCalls.put(callId, part);
                String key = ConfigurationKeys.part(part, present.version());
                actions.add(ConfigurationAction.WriteKey.of(callId, key, 0, text));
            }
        });
    }

    private void writeHead(List<ConfigurationAction> actions) {
        ChangePlan present = plan.orElseThrow();
        headCall = callIds.getAsLong();
        String text = ConfigurationDocuments.writeHead(present.head(revisions));
        actions.add(ConfigurationAction.WriteKey.of(headCall, ConfigurationKeys.HEAD, present.baseRevision(), text));
    }

    void readFound(StoreResult.ReadFound found, long nowMillis, List<ConfigurationAction> actions) {
        headCall = NO_CALL;
        delayFollowUp(nowMillis);
        try {
            headKnown(ConfigurationDocuments.readHead(found.value()), found.revision(), actions);
        } catch (NewerFormatException e) {
            headUnreadable(ChangeRefusal.NEWER_FORMAT, actions);
        } catch (IllegalArgumentException e) {
            headUnreadable(ChangeRefusal.UNREADABLE_HEAD, actions);
        }
    }

    void readAbsent(long nowMillis, List<ConfigurationAction> actions) {
        headCall = NO_CALL;
        delayFollowUp(nowMillis);
        headKnown(ConfigurationHead.EMPTY, 0, actions);
    }

    /** Spaces the reads of a change whose operator was already told that its outcome is unknown. */
    private void delayFollowUp(long nowMillis) {
        if (isAnswered) {
            retryMillis = nowMillis + ConfigurationAcceptor.FOLLOW_UP_INTERVAL_MILLIS;
        }
    }

    private void headKnown(ConfigurationHead head, long revision, List<ConfigurationAction> actions) {
        if (state == State.READ_HEAD) {
            decide(head, revision, actions);
        } else if (state == State.READ_BACK) {
            settle(head, revision, actions);
        }
    }

    private void headUnreadable(ChangeRefusal refusal, List<ConfigurationAction> actions) {
        if (state == State.READ_HEAD) {
            refuse(refusal, view.highestVersionSeen(), actions);
        } else {
            endUnknown(actions);
        }
    }

    private void decide(ConfigurationHead head, long revision, List<ConfigurationAction> actions) {
        ChangePlan next = ChangePlan.of(head, revision, id, configuration, view);
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
        plan = Optional.of(next);
        state = next.changed().isEmpty() ? State.WRITE_HEAD : State.WRITE_PARTS;
        issueCalls(actions);
    }

    private void settle(ConfigurationHead head, long revision, List<ConfigurationAction> actions) {
        ChangePlan present = plan.orElseThrow();
        Optional<Long> made = head.versionOf(id);
        if (made.isPresent()) {
            accept(
                    made.get(),
                    head.version() == made.get() ? OptionalLong.of(revision) : OptionalLong.empty(),
                    actions);
        } else if (revision == present.baseRevision()) {
            repeat(actions);
        } else if (revision < present.baseRevision()
                || !head.remembers(present.version().number())) {
            endUnknown(actions);
        } else {
            deleteParts(actions);
            startOver();
            decide(head, revision, actions);
        }
    }

    private void repeat(List<ConfigurationAction> actions) {
        if (!isAnswered) {
            state = State.WRITE_HEAD;
            issueCalls(actions);
        }
    }

    void writeDone(long callId, long revision, List<ConfigurationAction> actions) {
        if (callId == headCall) {
            headCall = NO_CALL;
            accept(plan.orElseThrow().version().number(), OptionalLong.of(revision), actions);
        } else {
            partWritten(callId, revision, actions);
        }
    }

    private void partWritten(long callId, long revision, List<ConfigurationAction> actions) {
        revisions.put(partCalls.remove(callId), revision);
        if (state == State.WRITE_PARTS
                && revisions.keySet().containsAll(plan.orElseThrow().changed().keySet())) {
            state = State.WRITE_HEAD;
            issueCalls(actions);
        }
    }

    /** Handles a refused write. A part's key is this change's own, so that an existing one was written by it before. */
    void writeConflict(long callId, long revision, List<ConfigurationAction> actions) {
        if (callId != headCall) {
            partWritten(callId, revision, actions);
            return;
        }
        headCall = NO_CALL;
        hadConflict = true;
        if (isDoubtful) {
            state = State.READ_BACK;
        } else {
            deleteParts(actions);
            startOver();
        }
        issueCalls(actions);
    }

    void callFailed(long callId, long nowMillis) {
        retryMillis = nowMillis + ConfigurationAcceptor.RETRY_INTERVAL_MILLIS;
        if (callId != headCall) {
            partCalls.remove(callId);
            return;
        }
        headCall = NO_CALL;
        if (state == State.WRITE_HEAD) {
            isDoubtful = true;
            state = State.READ_BACK;
        }
    }

    private void startOver() {
        plan = Optional.empty();
        revisions.clear();
        partCalls.clear();
        isDoubtful = false;
        state = State.READ_HEAD;
    }

    private void accept(long version, OptionalLong headRevision, List<ConfigurationAction> actions) {
        accepted = plan;
        state = State.DONE;
        headRevision.ifPresent(revision -> actions.add(
                ConfigurationAction.PushToPeers.of(plan.orElseThrow().update(revisions, revision))));
        answer(ChangeOutcome.accepted(version), actions);
    }

    private void refuse(ChangeRefusal reason, long versionInForce, List<ConfigurationAction> actions) {
        deleteParts(actions);
        state = State.DONE;
        answer(ChangeOutcome.refused(reason, versionInForce), actions);
    }

    private void endUnknown(List<ConfigurationAction> actions) {
        state = State.DONE;
        if (!isAnswered) {
            answer(ChangeOutcome.unknown(plan.orElseThrow().version().number()), actions);
        }
    }

    private void answer(ChangeOutcome outcome, List<ConfigurationAction> actions) {
        isAnswered = true;
        actions.add(ConfigurationAction.AnswerOperator.of(id, outcome));
    }

    private void deleteParts(List<ConfigurationAction> actions) {
        plan.ifPresent(present -> revisions.forEach((part, revision) -> actions.add(
                ConfigurationAction.DeleteKey.of(ConfigurationKeys.part(part, present.version()), revision))));
    }
}
