package org.trefoilpost.decision.claim;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import org.trefoilpost.model.verdict.RefusalReason;
import org.trefoilpost.model.verdict.UncertaintyReason;
import org.trefoilpost.model.verdict.Verdict;

/**
 * The requests that wait for a claim or an outcome, and the actions that end their waiting.
 */
final class RequestBook {
    private final ClaimSettings settings;
    private final List<ClaimAction> actions;
    private final Map<String, Waiter> waiters = new HashMap<>();
    private final PriorityQueue<Waiter> deadlines =
            new PriorityQueue<>(Comparator.comparingLong(Waiter::deadlineMillis));

    RequestBook(ClaimSettings settings, List<ClaimAction> actions) {
        this.settings = settings;
        this.actions = actions;
    }

    boolean isFull() {
        return waiters.size() >= settings.maxPendingRequests();
    }

    long nextDeadlineMillis() {
        while (!deadlines.isEmpty() && deadlines.peek().isDone()) {
            deadlines.remove();
        }
        return deadlines.isEmpty() ? Long.MAX_VALUE : deadlines.peek().deadlineMillis();
    }

    Optional<Waiter> find(String requestId) {
        return Optional.ofNullable(waiters.get(requestId));
    }

    Optional<Waiter> nextPastDeadline(long nowMillis) {
        return nextDeadlineMillis() <= nowMillis ? Optional.of(deadlines.remove()) : Optional.empty();
    }

    void await(String requestId, long deadlineMillis, Claim claim) {
        if (claim.isAwaited() || claim.stage() == ClaimStage.SENT) {
            actions.add(Join.of(requestId));
        }
        Waiter waiter = new Waiter(requestId, deadlineMillis, claim);
        waiters.put(requestId, waiter);
        deadlines.add(waiter);
        claim.add(waiter);
    }

    /** Ends the waiting of a request without an action. */
    void release(Waiter waiter) {
        waiter.finish();
        waiters.remove(waiter.requestId());
        waiter.claim().remove(waiter);
    }

    void dispatch(Waiter waiter) {
        release(waiter);
        dispatch(waiter.requestId(), waiter.deadlineMillis(), waiter.claim());
    }

    void dispatch(String requestId, long deadlineMillis, Claim claim) {
        claim.moveTo(ClaimStage.SENT);
        long sendBefore = Math.min(deadlineMillis, sendLimitMillis(claim));
        actions.add(Dispatch.of(requestId, claim.key(), sendBefore));
    }

    /** Returns the time from which the claim's request must no longer be sent, as others may have dropped the claim. */
    long sendLimitMillis(Claim claim) {
        return claim.claimRecord().claimedAtMillis() + settings.retentionMillis();
    }

    void concludeAll(Claim claim, Verdict verdict) {
        while (claim.isAwaited()) {
            conclude(claim.firstWaiter(), verdict);
        }
    }

    void replayAll(Claim claim, ClaimAnswer answer) {
        while (claim.isAwaited()) {
            Waiter waiter = claim.firstWaiter();
            release(waiter);
            actions.add(Replay.of(waiter.requestId(), answer));
        }
    }

    void conclude(Waiter waiter, Verdict verdict) {
        release(waiter);
        conclude(waiter.requestId(), verdict);
    }

    void conclude(String requestId, Verdict verdict) {
        actions.add(Conclude.of(requestId, verdict));
    }

    Verdict refusal(RefusalReason reason) {
        return Verdict.notRun(reason, Duration.ofMillis(settings.retryAfterMillis()));
    }

    Verdict unavailable() {
        return refusal(RefusalReason.CLAIM_UNAVAILABLE);
    }

    static Verdict claimedEarlier() {
        return Verdict.mayHaveRun(UncertaintyReason.CLAIMED_EARLIER);
    }
}
