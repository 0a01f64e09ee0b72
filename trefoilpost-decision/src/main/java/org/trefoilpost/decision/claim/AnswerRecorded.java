package org.trefoilpost.decision.claim;

import java.util.Objects;

/**
 * Reports that a dispatched request received the complete answer of its target.
 */
public final class AnswerRecorded implements ClaimEvent {
    private final ClaimKey key;
    private final ClaimAnswer answer;

    private AnswerRecorded(ClaimKey key, ClaimAnswer answer) {
        this.key = Objects.requireNonNull(key, "key");
        this.answer = Objects.requireNonNull(answer, "answer");
    }

    /**
     * Obtains an instance.
     *
     * @param key  the idempotency key, not null
     * @param answer  the complete answer, not null
     * @return the instance, not null
     */
    public static AnswerRecorded of(ClaimKey key, ClaimAnswer answer) {
        return new AnswerRecorded(key, answer);
    }

    /**
     * Returns the idempotency key.
     *
     * @return the idempotency key, not null
     */
    public ClaimKey key() {
        return key;
    }

    /**
     * Returns the complete answer.
     *
     * @return the complete answer, not null
     */
    public ClaimAnswer answer() {
        return answer;
    }

    /**
     * Returns the name of this type with its values.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "AnswerRecorded(" + key + ", " + answer + ")";
    }
}
