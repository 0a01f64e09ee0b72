package org.trefoilpost.decision.job;

import java.util.Map;
import java.util.Objects;

/**
 * The result of a request for placement advice.
 *
 * @param outcome  how the request ended, not null
 * @param tickets  the tickets by the identifier of the worker: those of the workers that may run the step if the request was
 *     answered, else empty, not null
 * @param validMillis  how long the tickets are valid, in milliseconds
 */
public record AdviceResult(AdviceOutcome outcome, Map<String, String> tickets, long validMillis) {
    /**
     * Constructs a result with a copy of the tickets.
     */
    public AdviceResult {
        Objects.requireNonNull(outcome, "outcome");
        tickets = Map.copyOf(tickets);
    }

    /**
     * Obtains the result of a request that was answered.
     *
     * @param tickets  the tickets by the identifier of the worker, not null
     * @param validMillis  how long the tickets are valid, in milliseconds
     * @return the result, not null
     */
    public static AdviceResult answered(Map<String, String> tickets, long validMillis) {
        return new AdviceResult(AdviceOutcome.ANSWERED, tickets, validMillis);
    }

    /**
     * Obtains the result of a request that was not answered with advice.
     *
     * @param outcome  how the request ended, not null
     * @return the result, not null
     */
    public static AdviceResult failed(AdviceOutcome outcome) {
        return new AdviceResult(outcome, Map.of(), 0);
    }
}
