package org.trefoilpost.entry.peer;

import java.util.Map;
import java.util.Objects;
import org.trefoilpost.decision.claim.ClaimAnswer;
import org.trefoilpost.entry.target.TargetResponse;

/**
 * A target's answer, stored with its claim to be returned for retries of the same request.
 */
public final class StoredAnswer implements ClaimAnswer {
    private static final long OVERHEAD_BYTES = 128;

    private final TargetResponse answer;

    private StoredAnswer(TargetResponse answer) {
        this.answer = answer;
    }

    /**
     * Creates a stored answer.
     *
     * @param answer  the answer with its whole body in memory, not null
     * @return the stored answer, not null
     */
    public static StoredAnswer of(TargetResponse answer) {
        return new StoredAnswer(Objects.requireNonNull(answer, "answer"));
    }

    /**
     * Returns the answer.
     *
     * @return the answer, not null
     */
    public TargetResponse answer() {
        return answer;
    }

    @Override
    public long sizeBytes() {
        long size = OVERHEAD_BYTES + answer.body().length;
        for (Map.Entry<String, String> header : answer.headers()) {
            size += header.getKey().length() + header.getValue().length();
        }
        return size;
    }

    /**
     * Returns the answer's status and size.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return answer.toString();
    }
}
