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
    static final long CLOCK_SKEW_MILLIS = 60_000;

    private final ClaimSettings settings;
    private final Map<ClaimKey, Claim> claims = new HashMap<>();
    private final Deque<Claim> byAge = new ArrayDeque<>();
    private final Deque<Claim> answered = new ArrayDeque<>();
    private long answerBytes;

    ClaimTable(ClaimSettings settings) {
        this.settings = settings;
    }

    /** Returns the time for which a claim is held: a key that carries a time is refused before its claim is dropped. */
    static long holdMillis(ClaimSettings settings) {
        return settings.retentionMillis() + 2 * CLOCK_SKEW_MILLIS;
    }

    Optional<Claim> find(ClaimKey key) {
        return Optional.ofNullable(claims.get(key));
    }

    /** Returns all claims, the oldest first. */
    List<Claim> all() {
        sortByAge();
        return List.copyOf(byAge);
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
        byAge.add(claim);
        return claim;
    }

    void remove(Claim claim) {
        claims.remove(claim.key(), claim);
        forgetAnswer(claim);
    }

    void keepAnswer(Claim claim, ClaimAnswer answer) {
        claim.keepAnswer(answer);
        answered.add(claim);
        answerBytes += answer.sizeBytes();
        while (answerBytes > settings.maxAnswerBytes()) {
            evict(answered.remove());
        }
    }

    private void evict(Claim claim) {
        if (claim.answer().isPresent()) {
            answerBytes -= claim.answer().get().sizeBytes();
            claim.dropAnswer();
        }
    }

    private void forgetAnswer(Claim claim) {
        if (claim.answer().isPresent()) {
            evict(claim);
        }
    }

    /** Drops the claims whose time is over, unless a request still depends on them. */
    void expire(long nowMillis) {
        long before = nowMillis - holdMillis(settings);
        while (!byAge.isEmpty() && byAge.getFirst().claimRecord().claimedAtMillis() < before) {
            Claim oldest = byAge.remove();
            if (claims.get(oldest.key()) != oldest) {
                continue;
            }
            if (oldest.isAwaited() || oldest.stage().isBeforeDispatch() || oldest.stage() == ClaimStage.SENT) {
                byAge.add(oldest);
                return;
            }
            remove(oldest);
        }
        while (!answered.isEmpty() && answered.getFirst().answer().isEmpty()) {
            answered.remove();
        }
    }

    /** Restores the order by age after claims of others were added. */
    void sortByAge() {
        List<Claim> sorted = new ArrayList<>(claims.values());
        sorted.sort((left, right) -> Long.compare(
                left.claimRecord().claimedAtMillis(), right.claimRecord().claimedAtMillis()));
        byAge.clear();
        byAge.addAll(sorted);
    }

    HandOver export(int shard) {
        List<HandedClaim> handed = new ArrayList<>(claims.size());
        for (Claim claim : all()) {
            if (claim.stage().isKept()) {
                handed.add(export(claim));
            }
        }
        return HandOver.of(shard, handed);
    }

    static HandedClaim export(Claim claim) {
        return claim.answer()
                .map(answer -> HandedClaim.of(claim.claimRecord(), answer))
                .orElseGet(() -> HandedClaim.of(claim.claimRecord()));
    }
}
