package org.trefoilpost.decision.job;

import java.util.List;

/**
 * A request for advice on which of the named workers may run a step.
 *
 * @param step  the step as {@code JOB.OCCURRENCE.STEP}, not null
 * @param workers  the identifiers of the candidate workers, not null
 * @param durationMillis  how long the service takes for the request by the queue's policy, in milliseconds
 */
public record AdviceRequest(String step, List<String> workers, long durationMillis) {
    /**
     * Constructs a request with a copy of the list.
     */
    public AdviceRequest {
        workers = List.copyOf(workers);
    }
}
