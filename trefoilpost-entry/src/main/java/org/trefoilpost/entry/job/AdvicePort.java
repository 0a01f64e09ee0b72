package org.trefoilpost.entry.job;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.trefoilpost.decision.job.AdviceRequest;

/**
 * The service that knows which workers may run a step.
 */
public interface AdvicePort {
    /**
     * Asks for advice.
     *
     * @param request  the request, not null
     * @return the tickets, not null; fails if there is no answer
     */
    CompletableFuture<Advice> requestAdvice(AdviceRequest request);

    /**
     * The workers that may run a step.
     *
     * @param tickets  the ticket by worker, not null
     * @param validMillis  how long the tickets are valid, in milliseconds
     */
    record Advice(Map<String, String> tickets, long validMillis) {}
}
