package org.trefoilpost.decision.job;

import java.util.List;

/**
 * Asks which of some workers may run a step.
 *
 * @param step  the step's name, not null
 * @param workers  the workers' identifiers, not null
 */
public record AdviceRequest(String step, List<String> workers) {
    /**
     * Constructs a request.
     */
    public AdviceRequest {
        workers = List.copyOf(workers);
    }
}
