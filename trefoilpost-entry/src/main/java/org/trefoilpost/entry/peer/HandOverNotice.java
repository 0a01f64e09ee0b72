package org.trefoilpost.entry.peer;

import java.util.Objects;
import org.trefoilpost.decision.claim.HandOver;

/**
 * Transfers the claims and answers of a shard to its next owner.
 */
public final class HandOverNotice implements PeerMessage {
    private final HandOver handOver;

    private HandOverNotice(HandOver handOver) {
        this.handOver = handOver;
    }

    /**
     * Creates the message.
     *
     * @param handOver  the claims and answers; each answer is a {@link StoredAnswer}, not null
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
     * Returns the type of the message and its short values, for logs and tests.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "HandOverNotice(" + handOver.shard() + ", " + handOver.claims().size() + " claims)";
    }
}
