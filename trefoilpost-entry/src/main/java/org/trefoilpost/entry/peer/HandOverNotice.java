package org.trefoilpost.entry.peer;

import java.util.Objects;
import org.trefoilpost.decision.claim.HandOver;

/**
 * Passes on claims and answers of a shard to its next owner.
 */
public final class HandOverNotice implements PeerMessage {
    private final HandOver handOver;

    private HandOverNotice(HandOver handOver) {
        this.handOver = handOver;
    }

    /**
     * Obtains a message.
     *
     * @param handOver  the claims and answers, whose answers are {@link StoredAnswer}s, not null
     * @return the message, not null
     */
    public static HandOverNotice of(HandOver handOver) {
        return new HandOverNotice(Objects.requireNonNull(handOver, "handOver"));
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
     * Returns the kind of the message with its values.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "HandOverNotice(" + handOver.shard() + ", " + handOver.claims().size() + " claims)";
    }
}
