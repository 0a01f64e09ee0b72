package org.trefoilpost.entry.job;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.trefoilpost.decision.job.AdviceRequest;
import org.trefoilpost.decision.job.AdviceResult;

/**
 * The platform's placement advice, which tells which workers may run a step.
 */
public interface AdvicePort {
    /**
     * Requests advice on the candidate workers of a step. The future does not fail; a failure is reported in the result. An answer
     * that comes after the timeout is passed on as well, as the service has done the work.
     *
     * @param request  the step and its candidate workers, not null
     * @param timeoutMillis  the time after which the call is given up, in milliseconds
     * @param lateListener  receives the answer to a call that was given up, if it comes, on any thread, not null
     * @return the result, not null
     */
    CompletableFuture<AdviceResult> requestAdvice(
            AdviceRequest request, long timeoutMillis, Consumer<AdviceResult> lateListener);
}
