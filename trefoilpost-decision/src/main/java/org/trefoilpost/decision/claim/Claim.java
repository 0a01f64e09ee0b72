package org.trefoilpost.decision.claim;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * A claimed key in memory, with the requests that wait for it.
 */
final class Claim {
    private ClaimRecord claimRecord;
    private ClaimStage stage;
    private boolean durable;
    private ClaimAnswer answer;
    private Deque<WaitingRequest> waitingRequests;

    Claim(ClaimRecord claimRecord, ClaimStage stage) {
        this.claimRecord = claimRecord;
        this.stage = stage;
    }

    ClaimKey key() {
        return claimRecord.key();
    }

    ClaimRecord claimRecord() {
        return claimRecord;
    }

    void refreshClaimTime(long nowMillis) {
        claimRecord = ClaimRecord.of(claimRecord.key(), claimRecord.fingerprint(), nowMillis);
    }

    void replaceRecord(ClaimRecord found) {
        claimRecord = found;
    }

    boolean hasSameFingerprint(ClaimRecord other) {
        return claimRecord.fingerprint().equals(other.fingerprint());
    }

    ClaimStage stage() {
        return stage;
    }

    void setStage(ClaimStage newStage) {
        stage = newStage;
    }

    boolean isDurable() {
        return durable;
    }

    void setDurable(boolean nowDurable) {
        durable = nowDurable;
    }

    Optional<ClaimAnswer> answer() {
        return Optional.ofNullable(answer);
    }

    void storeAnswer(ClaimAnswer newAnswer) {
        answer = newAnswer;
        stage = ClaimStage.ANSWERED;
    }

    void dropAnswer() {
        answer = null;
        stage = ClaimStage.UNKNOWN;
    }

    void add(WaitingRequest waiter) {
        if (waitingRequests == null) {
            waitingRequests = new ArrayDeque<>(1);
        }
        waitingRequests.add(waiter);
    }

    void remove(WaitingRequest waiter) {
        if (waitingRequests != null) {
            waitingRequests.remove(waiter);
            waitingRequests = waitingRequests.isEmpty() ? null : waitingRequests;
        }
    }

    boolean hasWaitingRequests() {
        return waitingRequests != null;
    }

    WaitingRequest firstWaitingRequest() {
        return waitingRequests.getFirst();
    }
}
