package org.trefoilpost.entry.request;

import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletionException;
import org.trefoilpost.decision.dispatch.AttemptResult;
import org.trefoilpost.entry.target.TargetException;
import org.trefoilpost.entry.target.TargetFailure;
import org.trefoilpost.entry.target.TargetResponse;
import org.trefoilpost.model.verdict.UncertaintyReason;

/**
 * Maps the end of an exchange with a target to the result of a dispatch attempt.
 */
final class AttemptResults {
    private static final int FIRST_SERVER_ERROR = 500;

    private AttemptResults() {}

    /**
     * Returns the result of an exchange that received a response; a status of 500 or above is a server error.
     *
     * @param response  the target's response, not null
     * @return the result, not null
     */
    static AttemptResult of(TargetResponse response) {
        return response.status() >= FIRST_SERVER_ERROR ? AttemptResult.serverError() : AttemptResult.answered();
    }

    /**
     * Returns the result of an exchange that received no complete response.
     *
     * @param failure  the failure of the exchange, which may be wrapped in a CompletionException, not null
     * @return the result, not null
     */
    static AttemptResult of(Throwable failure) {
        return of(targetFailure(failure));
    }

    /**
     * Returns the reason of a failed exchange.
     *
     * <p>A cancelled exchange counts as a timeout. A failure of an unknown type counts as a lost connection, after which the
     * target may have run the request.
     *
     * @param failure  the failure of the exchange, which may be wrapped in a CompletionException, not null
     * @return the reason, not null
     */
    static TargetFailure targetFailure(Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
        if (cause instanceof TargetException exception) {
            return exception.failure();
        }
        return cause instanceof CancellationException ? TargetFailure.TIMEOUT : TargetFailure.CONNECTION_LOST;
    }

    private static AttemptResult of(TargetFailure failure) {
        return switch (failure) {
            case NOT_CONNECTED -> AttemptResult.notConnected();
            case NO_FREE_CONNECTION -> AttemptResult.notSent();
            case NOT_STARTED, LEAVING -> AttemptResult.notStarted();
            case CONNECTION_LOST, FOREIGN_ANSWER -> AttemptResult.mayHaveRun(UncertaintyReason.CONNECTION_LOST);
            case ANSWER_INCOMPLETE -> AttemptResult.mayHaveRun(UncertaintyReason.ANSWER_INCOMPLETE);
            case TIMEOUT -> AttemptResult.mayHaveRun(UncertaintyReason.DEADLINE_PASSED);
        };
    }
}
