package org.trefoilpost.decision.claim;

import java.util.Objects;

/**
 * Answers a request with the answer to an earlier request with the same key.
 */
public final class Replay implements RequestAction {
    private final String requestId;
    private final ClaimAnswer answer;

    private Replay(String requestId, ClaimAnswer answer) {
        this.requestId = Objects.requireNonNull(requestId, "requestId");
        this.answer = Objects.requireNonNull(answer, "answer");
    }

    /**
     * Obtains an instance.
     *
     * @param requestId  the id of the request, not null
     * @param answer  the answer to repeat, not null
     * @return the instance, not null
     */
    public static Replay of(String requestId, ClaimAnswer answer) {
        return new Replay(requestId, answer);
    }

    @Override
    public String requestId() {
        return requestId;
    }

    /**
     * Returns the answer to repeat.
     *
     * @return the answer to repeat, not null
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
        return "Replay(" + requestId + ", " + answer + ")";
    }
}
