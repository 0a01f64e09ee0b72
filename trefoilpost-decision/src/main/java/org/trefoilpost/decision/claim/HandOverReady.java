package org.trefoilpost.decision.claim;

import java.util.Objects;

/**
 * Asks the entry to send claims and answers to the next owner of the shard.
 */
public final class HandOverReady implements ClaimAction {
    private final HandOver handOver;

    private HandOverReady(HandOver handOver) {
        this.handOver = Objects.requireNonNull(handOver, "handOver");
    }

    /**
     * Obtains an instance.
     *
     * @param handOver  the claims and answers, not null
     * @return the instance, not null
     */
    public static HandOverReady of(HandOver handOver) {
        return new HandOverReady(handOver);
    }

    /**
     * Returns the claims and answers.
     *
     * @return the claims and answers, not null
     */
    public HandOver handOver() {
        return handOver;
    }

    /**
     * Returns the name of this type with its values.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "HandOverReady(" + handOver + ")";
    }
}
