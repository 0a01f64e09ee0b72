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
 * The requests that wait for a claim or an outcome. Adds the actions that dispatch, answer or end them to the actions
 * of the shard.
 */
final class WaitingRequests {
    private final ClaimSettings settings;
    private final List<ClaimAction> actions;
    private final Map<String, WaitingRequest> requestsById = new HashMap<>();
    private final PriorityQueue<WaitingRequest> requestsByDeadline =
            new PriorityQueue<>(Comparator.comparingLong(WaitingRequest::deadlineMillis));

    WaitingRequests(ClaimSettings settings, List<ClaimAction> actions) {
        this.settings = settings;
        this.actions = actions;
    }

    boolean isFull() {
        return requestsById.size() >= settings.maxPendingRequests();
    }

    long nextDeadlineMillis() {
        while (!requestsByDeadline.isEmpty() && requestsByDeadline.peek().isDone()) {
            requestsByDeadline.remove();
        }
        return requestsByDeadline.isEmpty()
                ? Long.MAX_VALUE
                : requestsByDeadline.peek().deadlineMillis();
    }

    Optional<WaitingRequest> find(String requestId) {
        return Optional.ofNullable(requestsById.get(requestId));
    }

    List<WaitingRequest> all() {
        return List.copyOf(requestsById.values());
    }

    Optional<WaitingRequest> pollPastDeadline(long nowMillis) {
        return nextDeadlineMillis() <= nowMillis ? Optional.of(requestsByDeadline.remove()) : Optional.empty();
    }

    void enqueue(String requestId, long deadlineMillis, Claim claim) {
        if (claim.hasWaitingRequests() || claim.stage() == ClaimStage.SENT) {
            actions.add(Join.of(requestId));
        }
        WaitingRequest request = new WaitingRequest(requestId, deadlineMillis, claim);
        requestsById.put(requestId, request);
        requestsByDeadline.add(request);
        claim.add(request);
    }

    /** Removes a request without adding an action. */
    void remove(WaitingRequest request) {
        request.markDone();
        requestsById.remove(request.requestId());
        request.claim().remove(request);
    }

    void dispatch(WaitingRequest request) {
        remove(request);
        dispatch(request.requestId(), request.deadlineMillis(), request.claim());
    }

    void dispatch(String requestId, long deadlineMillis, Claim claim) {
        claim.setStage(ClaimStage.SENT);
        long sendBeforeMillis = Math.min(deadlineMillis, sendBeforeMillis(claim));
        actions.add(Dispatch.of(requestId, claim.key(), sendBeforeMillis));
    }

    /** Returns the time from which the request must not be sent, since other entries may have removed the claim. */
    long sendBeforeMillis(Claim claim) {
        return claim.claimRecord().claimedAtMillis() + settings.retentionMillis();
    }

    void concludeAll(Claim claim, Verdict verdict) {
        while (claim.hasWaitingRequests()) {
            conclude(claim.firstWaitingRequest(), verdict);
        }
    }

    void replayAll(Claim claim, ClaimAnswer answer) {
        while (claim.hasWaitingRequests()) {
            WaitingRequest request = claim.firstWaitingRequest();
            remove(request);
            actions.add(Replay.of(request.requestId(), answer));
        }
    }

    void conclude(WaitingRequest request, Verdict verdict) {
        remove(request);
        conclude(request.requestId(), verdict);
    }

    void conclude(String requestId, Verdict verdict) {
        actions.add(Conclude.of(requestId, verdict));
    }

    Verdict refusalVerdict(RefusalReason reason) {
        return Verdict.notRun(reason, Duration.ofMillis(settings.retryAfterMillis()));
    }

    Verdict unavailableVerdict() {
        return refusalVerdict(RefusalReason.CLAIM_UNAVAILABLE);
    }

    static Verdict claimedEarlierVerdict() {
        return Verdict.mayHaveRun(UncertaintyReason.CLAIMED_EARLIER);
    }
}
