package org.trefoilpost.entry.job;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.trefoilpost.decision.job.AdviceRequest;

/**
 * The platform's placement advice, which tells which workers may run a step.
 */
public interface AdvicePort {
    /**
     * Requests advice on the candidate workers of a step.
     *
     * @param request  the step and its candidate workers, not null
     * @return the advice, not null; fails if the service does not answer or refuses the request
     */
    CompletableFuture<Advice> requestAdvice(AdviceRequest request);

    /**
     * Advice: the workers that may run a step, each with the ticket that permits it.
     *
     * @param tickets  the tickets by the identifier of the worker, empty if no worker may run the step, not null
     * @param validMillis  how long the tickets are valid, in milliseconds
     */
    record Advice(Map<String, String> tickets, long validMillis) {}
}
