package org.trefoilpost.entry.request;

import java.util.Objects;
import java.util.Optional;
import org.trefoilpost.entry.target.TargetResponse;
import org.trefoilpost.model.verdict.Verdict;

/**
 * The final verdict of a request, with the target's answer if there is one.
 */
public final class RequestOutcome {
    private final Verdict verdict;
    private final TargetResponse response;

    private RequestOutcome(Verdict verdict, TargetResponse answer) {
        this.verdict = verdict;
        this.response = answer;
    }

    /**
     * Obtains the outcome of an answered request.
     *
     * @param answer  the target's answer, not null
     * @return the outcome, not null
     */
    public static RequestOutcome answered(TargetResponse answer) {
        return new RequestOutcome(Verdict.answered(), Objects.requireNonNull(answer, "answer"));
    }

    /**
     * Obtains the outcome of a request without an answer.
     *
     * @param verdict  the verdict, not null
     * @return the outcome, not null
     */
    public static RequestOutcome of(Verdict verdict) {
        return new RequestOutcome(Objects.requireNonNull(verdict, "verdict"), null);
    }

    /**
     * Returns the verdict.
     *
     * @return the verdict, not null
     */
    public Verdict verdict() {
        return verdict;
    }

    /**
     * Returns the target's answer.
     *
     * @return the answer, empty unless the request was answered, not null
     */
    public Optional<TargetResponse> response() {
        return Optional.ofNullable(response);
    }

    /**
     * Returns the verdict and the answer's size.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return response == null ? verdict.toString() : verdict + " " + response;
    }
}
