package org.trefoilpost.decision.claim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The claims of a shard in memory, with their answers. Claims are removed after their lifetime; when the answers exceed
 * the configured total size, the oldest answers are evicted.
 */
final class ClaimTable {
    /** The maximum difference between the clock of this entry and those of callers and other entries. */
    static final long MAX_CLOCK_SKEW_MILLIS = 60_000;

    private final ClaimSettings settings;
    private final Map<ClaimKey, Claim> claims = new HashMap<>();
    private final Deque<Claim> claimsByAge = new ArrayDeque<>();
    private final Deque<Claim> claimsWithAnswer = new ArrayDeque<>();
    private long answerBytes;

    ClaimTable(ClaimSettings settings) {
        this.settings = settings;
    }

    /**
     * Returns the lifetime of a claim in memory and in the journal. It exceeds the retention time by twice the clock skew,
     * so that a key with a creation time is refused before its claim is removed.
     */
    static long claimLifetimeMillis(ClaimSettings settings) {
        return settings.retentionMillis() + 2 * MAX_CLOCK_SKEW_MILLIS;
    }

    Optional<Claim> find(ClaimKey key) {
        return Optional.ofNullable(claims.get(key));
    }

    /** Returns all claims, the oldest first. */
    List<Claim> all() {
        sortByAge();
        return List.copyOf(claimsByAge);
    }

    int size() {
        return claims.size();
    }

    long answerBytes() {
        return answerBytes;
    }

    Claim add(ClaimRecord claimRecord, ClaimStage stage) {
        Claim claim = new Claim(claimRecord, stage);
        claims.put(claimRecord.key(), claim);
        claimsByAge.add(claim);
        return claim;
    }

    void remove(Claim claim) {
        claims.remove(claim.key(), claim);
        dropAnswer(claim);
    }

    void storeAnswer(Claim claim, ClaimAnswer answer) {
        claim.storeAnswer(answer);
        claimsWithAnswer.add(claim);
        answerBytes += answer.sizeBytes();
        while (answerBytes > settings.maxAnswerBytes()) {
            evictAnswer(claimsWithAnswer.remove());
        }
    }

    private void evictAnswer(Claim claim) {
        if (claim.answer().isPresent()) {
            answerBytes -= claim.answer().get().sizeBytes();
            claim.dropAnswer();
        }
    }

    private void dropAnswer(Claim claim) {
        if (claim.answer().isPresent()) {
            evictAnswer(claim);
        }
    }

    /** Removes the claims whose lifetime is over, unless a request still depends on them. */
    void expire(long nowMillis) {
        long cutoffMillis = nowMillis - claimLifetimeMillis(settings);
        while (!claimsByAge.isEmpty() && claimsByAge.getFirst().claimRecord().claimedAtMillis() < cutoffMillis) {
            Claim oldest = claimsByAge.remove();
            if (claims.get(oldest.key()) != oldest) {
                continue;
            }
            if (oldest.hasWaitingRequests() || oldest.stage().isBeforeDispatch() || oldest.stage() == ClaimStage.SENT) {
                claimsByAge.add(oldest);
                return;
            }
            remove(oldest);
        }
        while (!claimsWithAnswer.isEmpty()
                && claimsWithAnswer.getFirst().answer().isEmpty()) {
            claimsWithAnswer.remove();
        }
    }

    /** Sorts the claims by age, which is needed after claims of other entries were added. */
    void sortByAge() {
        List<Claim> sorted = new ArrayList<>(claims.values());
        sorted.sort((left, right) -> Long.compare(
                left.claimRecord().claimedAtMillis(), right.claimRecord().claimedAtMillis()));
        claimsByAge.clear();
        claimsByAge.addAll(sorted);
    }

    HandOver export(int shard) {
        List<HandedOverClaim> claimsToPass = new ArrayList<>(claims.size());
        for (Claim claim : all()) {
            if (claim.stage().mustStayInJournal()) {
                claimsToPass.add(export(claim));
            }
        }
        return HandOver.of(shard, claimsToPass);
    }

    static HandedOverClaim export(Claim claim) {
        return claim.answer()
                .map(answer -> HandedOverClaim.of(claim.claimRecord(), answer))
                .orElseGet(() -> HandedOverClaim.of(claim.claimRecord()));
    }
}
