package org.trefoilpost.decision.claim;

import java.util.Objects;

/**
 * Reports that claims and answers of the shard arrived from another entry.
 */
public final class HandOverReceived implements ClaimEvent {
    private final HandOver handOver;

    private HandOverReceived(HandOver handOver) {
        this.handOver = Objects.requireNonNull(handOver, "handOver");
    }

    /**
     * Obtains an instance.
     *
     * @param handOver  the claims and answers of the other entry, not null
     * @return the instance, not null
     */
    public static HandOverReceived of(HandOver handOver) {
        return new HandOverReceived(handOver);
    }

    /**
     * Returns the claims and answers of the other entry.
     *
     * @return the claims and answers of the other entry, not null
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
        return "HandOverReceived(" + handOver + ")";
    }
}
