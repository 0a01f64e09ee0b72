package org.trefoilpost.decision.dispatch;

import org.trefoilpost.decision.retry.AttemptFailure;
import org.trefoilpost.decision.routing.AttemptOutcome;
import org.trefoilpost.model.worker.Worker;

/**
 * Maps the result of an attempt to what the router and the retry policy learn of it.
 */
final class AttemptEnds {
    private AttemptEnds() {}

    static boolean isAnswer(AttemptResult result) {
        return result.kind() == AttemptResult.Kind.ANSWERED || result.kind() == AttemptResult.Kind.SERVER_ERROR;
    }

    static AttemptOutcome outcome(AttemptResult result) {
        return switch (result.kind()) {
            case ANSWERED -> AttemptOutcome.ANSWERED;
            case NOT_STARTED, NOT_SENT -> AttemptOutcome.REJECTED;
            case SERVER_ERROR, NOT_CONNECTED, DOUBTFUL -> AttemptOutcome.FAILED;
        };
    }

    static AttemptFailure failure(Worker worker, AttemptResult result) {
        return result.uncertainty()
                .map(reason -> AttemptFailure.mayHaveRun(worker, reason))
                .orElseGet(() -> AttemptFailure.notStarted(worker));
    }
}
