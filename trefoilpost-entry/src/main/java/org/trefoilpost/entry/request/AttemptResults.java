package org.trefoilpost.entry.request;

import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletionException;
import org.trefoilpost.decision.dispatch.AttemptResult;
import org.trefoilpost.entry.target.TargetException;
import org.trefoilpost.entry.target.TargetFailure;
import org.trefoilpost.entry.target.TargetResponse;
import org.trefoilpost.model.verdict.UncertaintyReason;

/**
 * Translates what the target client tells of an exchange into the result of an attempt.
 */
final class AttemptResults {
    private static final int FIRST_SERVER_ERROR = 500;

    private AttemptResults() {}

    /**
     * Returns the result of an exchange that brought an answer.
     *
     * @param answer  the answer, not null
     * @return the result, not null
     */
    static AttemptResult of(TargetResponse answer) {
        return answer.status() >= FIRST_SERVER_ERROR ? AttemptResult.serverError() : AttemptResult.answered();
    }

    /**
     * Returns the result of an exchange that failed.
     *
     * @param failure  the failure, not null
     * @return the result, not null
     */
    static AttemptResult of(Throwable failure) {
        return of(targetFailure(failure));
    }

    /**
     * Returns what failed in an exchange; a failure of an unknown kind counts as a lost connection, which is in doubt.
     *
     * @param failure  the failure, not null
     * @return what failed, not null
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
