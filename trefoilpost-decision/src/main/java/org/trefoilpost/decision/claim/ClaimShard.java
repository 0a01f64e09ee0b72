package org.trefoilpost.decision.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.trefoilpost.model.EntryId;
import org.trefoilpost.model.verdict.RefusalReason;

/**
 * The state machine of one shard of idempotency keys on one entry. Dispatches the request of each key at most once.
 *
 * <p>The class is not thread-safe. The entry answers each {@link StoreCall} with one {@link StoreReply}, which is
 * {@link StoreFailed} if the reply does not arrive in time. A request gets exactly one of {@link Dispatch},
 * {@link Replay} and {@link Conclude}, unless it is cancelled; after {@link Dispatch} the entry returns the verdict to
 * the caller and reports one of {@link AnswerRecorded}, {@link OutcomeUnknown} and {@link DispatchAbandoned}.
 */
public final class ClaimShard {
    private static final long NO_TIMER = Long.MAX_VALUE;

    private final List<ClaimAction> actions = new ArrayList<>();
    private final ClaimSettings settings;
    private final ClaimTable table;
    private final WaitingRequests requests;
    private final ShardClaims claims;
    private final ShardJournal journal;
    private long timerAtMillis = NO_TIMER;
    private boolean handOverPending;

    private ClaimShard(int shard, EntryId self, long incarnation, ClaimSettings settings) {
        this.settings = settings;
        table = new ClaimTable(settings);
        requests = new WaitingRequests(settings, actions);
        claims = new ShardClaims(shard, table, requests, actions);
        journal = new ShardJournal(shard, self, incarnation, settings, claims);
    }

    /**
     * Obtains a shard that this entry does not own yet.
     *
     * @param shard  the number of the shard
     * @param self  the id of this entry, not null
     * @param incarnation  a number that no other process of any entry uses, drawn at random when the process starts
     * @param settings  the limits, not null
     * @return the shard, not null
     */
    public static ClaimShard of(int shard, EntryId self, long incarnation, ClaimSettings settings) {
        return new ClaimShard(shard, self, incarnation, settings);
    }

    /**
     * Returns whether this entry owns the shard, as far as it knows.
     *
     * @return true if new keys can be claimed
     */
    public boolean isOwner() {
        return journal.phase() == JournalPhase.OWNED;
    }

    /**
     * Returns whether the present store call failed repeatedly.
     *
     * @return true if new keys are refused because the store is unavailable
     */
    public boolean isStoreUnavailable() {
        return journal.isStoreUnavailable();
    }

    /**
     * Returns the number of claims in memory.
     *
     * @return the number of claims, not negative
     */
    public int heldKeys() {
        return table.size();
    }

    /**
     * Returns the total size of the stored answers.
     *
     * @return the size in bytes, not negative
     */
    public long answerBytes() {
        return table.answerBytes();
    }

    /**
     * Handles an event and returns the actions that follow from it.
     *
     * @param event  the event, not null
     * @param nowMillis  the present time in milliseconds since 1970
     * @return the actions in the order in which to carry them out, not null, may be empty
     */
    public List<ClaimAction> step(ClaimEvent event, long nowMillis) {
        concludePastDeadlines(nowMillis);
        table.expire(nowMillis);
        apply(event, nowMillis);
        issueDueActions(nowMillis);
        List<ClaimAction> result = List.copyOf(actions);
        actions.clear();
        return result;
    }

    private void apply(ClaimEvent event, long nowMillis) {
        if (event instanceof ClaimRequested requested) {
            handleRequest(requested, nowMillis);
        } else if (event instanceof StoreReply reply) {
            handleReply(reply, nowMillis);
        } else if (event instanceof AnswerRecorded recorded) {
            claims.recordAnswer(recorded.key(), recorded.answer(), isReleased());
        } else if (event instanceof OutcomeUnknown unknown) {
            claims.recordUnknown(unknown.key(), unknown.reason());
        } else if (event instanceof DispatchAbandoned abandoned) {
            claims.recordAbandoned(abandoned.key(), isReleased(), nowMillis);
        } else if (event instanceof RequestCancelled cancelled) {
            requests.find(cancelled.requestId()).ifPresent(claims::cancel);
        } else if (event instanceof HandOverReceived received) {
            claims.merge(received.handOver(), isOwner(), nowMillis - ClaimTable.claimLifetimeMillis(settings));
        } else if (event instanceof EpochObserved observed) {
            journal.observeEpoch(observed.epoch());
        } else if (event instanceof EntryStopping) {
            requests.all().forEach(claims::concludeAtStop);
        } else if (event instanceof TakeOverRequested) {
            journal.takeOver();
        } else if (event instanceof HandOverRequested) {
            handOverPending = !isReleased();
        } else {
            timerAtMillis = NO_TIMER;
        }
    }

    private boolean isReleased() {
        return journal.phase() == JournalPhase.RELEASED;
    }

    private void handleReply(StoreReply reply, long nowMillis) {
        boolean wasAvailable = !journal.isStoreUnavailable();
        journal.handle(reply, nowMillis);
        if (wasAvailable && journal.isStoreUnavailable()) {
            claims.refusePending();
        }
    }

    private void issueDueActions(long nowMillis) {
        if (handOverPending && (!journal.isBatchUnresolved() || journal.isStoreUnavailable())) {
            journal.release(Optional.empty());
        }
        handOverPending &= !isReleased();
        journal.nextCall(nowMillis).ifPresent(actions::add);
        long dueMillis = Math.min(requests.nextDeadlineMillis(), journal.nextCallDueAtMillis());
        if (dueMillis < timerAtMillis) {
            timerAtMillis = Math.max(dueMillis, nowMillis + 1);
            actions.add(SetTimer.of(timerAtMillis));
        }
    }

    private void concludePastDeadlines(long nowMillis) {
        Optional<WaitingRequest> request = requests.pollPastDeadline(nowMillis);
        while (request.isPresent()) {
            claims.concludeAtDeadline(request.get());
            request = requests.pollPastDeadline(nowMillis);
        }
    }

    private void handleRequest(ClaimRequested requested, long nowMillis) {
        String requestId = requested.requestId();
        if (requested.deadlineMillis() <= nowMillis) {
            requests.conclude(requestId, requests.refusalVerdict(RefusalReason.DEADLINE_PAST));
            return;
        }
        if (isExpired(requested.key(), nowMillis)) {
            requests.conclude(requestId, requests.refusalVerdict(RefusalReason.KEY_EXPIRED));
            return;
        }
        Optional<Claim> known = table.find(requested.key());
        if (known.isPresent()) {
            handleRepeat(requested, known.get(), nowMillis);
        } else if (handOverPending || isReleased() || journal.isStoreUnavailable() || requests.isFull()) {
            requests.conclude(requestId, requests.unavailableVerdict());
        } else {
            claims.claim(requested, nowMillis);
        }
    }

    private boolean isExpired(ClaimKey key, long nowMillis) {
        if (key.createdAtMillis().isEmpty()) {
            return false;
        }
        long ageMillis = nowMillis - key.createdAtMillis().getAsLong();
        return ageMillis > settings.retentionMillis() || ageMillis < -ClaimTable.MAX_CLOCK_SKEW_MILLIS;
    }

    private void handleRepeat(ClaimRequested repeated, Claim known, long nowMillis) {
        String requestId = repeated.requestId();
        if (!known.claimRecord().fingerprint().equals(repeated.fingerprint())) {
            requests.conclude(requestId, requests.refusalVerdict(RefusalReason.KEY_REUSED));
            return;
        }
        switch (known.stage()) {
            case ANSWERED -> actions.add(Replay.of(requestId, known.answer().orElseThrow()));
            case UNKNOWN -> requests.conclude(requestId, WaitingRequests.claimedEarlierVerdict());
            case UNSENT -> resumeUnsent(repeated, known, nowMillis);
            default -> waitForClaim(repeated, known);
        }
    }

    private void waitForClaim(ClaimRequested repeated, Claim known) {
        if (requests.isFull()) {
            requests.conclude(repeated.requestId(), requests.unavailableVerdict());
        } else {
            requests.enqueue(repeated.requestId(), repeated.deadlineMillis(), known);
        }
    }

    private void resumeUnsent(ClaimRequested repeated, Claim known, long nowMillis) {
        if (!known.isDurable()) {
            known.setStage(ClaimStage.WRITING);
            waitForClaim(repeated, known);
            claims.dropIfNoRequestWaits(known);
        } else if (isReleased() || nowMillis >= requests.sendBeforeMillis(known)) {
            requests.conclude(repeated.requestId(), requests.unavailableVerdict());
        } else {
            requests.dispatch(repeated.requestId(), repeated.deadlineMillis(), known);
        }
    }
}
