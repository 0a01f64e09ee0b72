package org.trefoilpost.decision.claim;

import java.util.Objects;
import java.util.Optional;

/**
 * A claim with its answer, if there is one, as an entry passes it on to the next owner.
 */
public final class HandedOverClaim {
    private final ClaimRecord claim;
    private final ClaimAnswer answer;

    private HandedOverClaim(ClaimRecord claim, ClaimAnswer answer) {
        this.claim = Objects.requireNonNull(claim, "claim");
        this.answer = answer;
    }

    /**
     * Obtains a claim whose outcome is unknown to its entry.
     *
     * @param claim  the claim, not null
     * @return the handed claim, not null
     */
    public static HandedOverClaim of(ClaimRecord claim) {
        return new HandedOverClaim(claim, null);
    }

    /**
     * Obtains a claim with its answer.
     *
     * @param claim  the claim, not null
     * @param answer  the answer, not null
     * @return the handed claim, not null
     */
    public static HandedOverClaim of(ClaimRecord claim, ClaimAnswer answer) {
        return new HandedOverClaim(claim, Objects.requireNonNull(answer, "answer"));
    }

    /**
     * Returns the claim.
     *
     * @return the claim, not null
     */
    public ClaimRecord claim() {
        return claim;
    }

    /**
     * Returns the answer.
     *
     * @return the answer, not null, empty if it is unknown
     */
    public Optional<ClaimAnswer> answer() {
        return Optional.ofNullable(answer);
    }

    /**
     * Returns the claim and whether it has an answer.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return claim + (answer == null ? " without an answer" : " with its answer");
    }
}
