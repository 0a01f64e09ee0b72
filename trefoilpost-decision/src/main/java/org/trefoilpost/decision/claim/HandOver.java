package org.trefoilpost.decision.claim;

import java.util.List;
import java.util.Objects;

/**
 * What an entry knows of a shard's claims, passed on to the next owner so that repeats still get their answer.
 */
public final class HandOver {
    private final int shard;
    private final List<HandedOverClaim> claims;

    private HandOver(int shard, List<HandedOverClaim> claims) {
        this.shard = shard;
        this.claims = List.copyOf(claims);
    }

    /**
     * Obtains a hand-over.
     *
     * @param shard  the number of the shard
     * @param claims  the claims, the oldest first, not null
     * @return the hand-over, not null
     */
    public static HandOver of(int shard, List<HandedOverClaim> claims) {
        return new HandOver(shard, Objects.requireNonNull(claims, "claims"));
    }

    /**
     * Returns the number of the shard.
     *
     * @return the shard
     */
    public int shard() {
        return shard;
    }

    /**
     * Returns the claims, the oldest first.
     *
     * @return the claims, not null, immutable
     */
    public List<HandedOverClaim> claims() {
        return claims;
    }

    /**
     * Returns the shard and the number of claims.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "HandOver(" + shard + ", " + claims.size() + " claims)";
    }
}
