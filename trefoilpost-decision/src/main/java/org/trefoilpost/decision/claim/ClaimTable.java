package org.trefoilpost.decision.claim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The claims of a shard in memory, held for the retention time, with the answers that fit into a number of bytes.
 */
final class ClaimTable {
    /** How far the clocks of callers and entries may differ from this entry's. */
    static final long MAX_CLOCK_SKEW_MILLIS = 60_000;

    private final ClaimSettings settings;
    private final Map<ClaimKey, Claim> claims = new HashMap<>();
    private final Deque<Claim> claimsByAge = new ArrayDeque<>();
    private final Deque<Claim> claimsWithAnswer = new ArrayDeque<>();
    private long answerBytes;

    ClaimTable(ClaimSettings settings) {
        this.settings = settings;
    }

    /** Returns the time for which a claim is held: a key that carries a time is refused before its claim is dropped. */
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

    /** Drops the claims whose time is over, unless a request still depends on them. */
    void expire(long nowMillis) {
        long before = nowMillis - claimLifetimeMillis(settings);
        while (!claimsByAge.isEmpty() && claimsByAge.getFirst().claimRecord().claimedAtMillis() < before) {
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

    /** Restores the order by age after claims of others were added. */
    void sortByAge() {
        List<Claim> sorted = new ArrayList<>(claims.values());
        sorted.sort((left, right) -> Long.compare(
                left.claimRecord().claimedAtMillis(), right.claimRecord().claimedAtMillis()));
        claimsByAge.clear();
        claimsByAge.addAll(sorted);
    }

    HandOver export(int shard) {
        List<HandedOverClaim> handed = new ArrayList<>(claims.size());
        for (Claim claim : all()) {
            if (claim.stage().mustStayInJournal()) {
                handed.add(export(claim));
            }
        }
        return HandOver.of(shard, handed);
    }

    static HandedOverClaim export(Claim claim) {
        return claim.answer()
                .map(answer -> HandedOverClaim.of(claim.claimRecord(), answer))
                .orElseGet(() -> HandedOverClaim.of(claim.claimRecord()));
    }
}
