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
    private Deque<Waiter> waiters;

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

    boolean matches(ClaimRecord other) {
        return claimRecord.fingerprint().equals(other.fingerprint());
    }

    ClaimStage stage() {
        return stage;
    }

    void moveTo(ClaimStage newStage) {
        stage = newStage;
    }

    boolean isDurable() {
        return durable;
    }

    void markDurable(boolean nowDurable) {
        durable = nowDurable;
    }

    Optional<ClaimAnswer> answer() {
        return Optional.ofNullable(answer);
    }

    void keepAnswer(ClaimAnswer newAnswer) {
        answer = newAnswer;
        stage = ClaimStage.ANSWERED;
    }

    void dropAnswer() {
        answer = null;
        stage = ClaimStage.UNKNOWN;
    }

    void add(Waiter waiter) {
        if (waiters == null) {
            waiters = new ArrayDeque<>(1);
        }
        waiters.add(waiter);
    }

    void remove(Waiter waiter) {
        if (waiters != null) {
            waiters.remove(waiter);
            waiters = waiters.isEmpty() ? null : waiters;
        }
    }

    boolean isAwaited() {
        return waiters != null;
    }

    Waiter firstWaiter() {
        return waiters.getFirst();
    }
}
