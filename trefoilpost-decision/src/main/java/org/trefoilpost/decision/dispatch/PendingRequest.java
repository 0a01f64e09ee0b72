package org.trefoilpost.decision.dispatch;

import org.trefoilpost.decision.retry.AttemptFailure;
import org.trefoilpost.decision.retry.AttemptHistory;
import org.trefoilpost.decision.routing.WorkerChoice;

/**
 * A request between its arrival and its verdict. One thread owns it.
 */
final class PendingRequest {
    private final DispatchRequest request;
    private AttemptHistory history = AttemptHistory.empty();
    private WorkerChoice choice;
    private long attemptStartMillis;
    private int attempts;

    private PendingRequest(DispatchRequest request) {
        this.request = request;
    }

    /**
     * Obtains a request without attempts.
     *
     * @param request  the request, not null
     * @return the pending request, not null
     */
    static PendingRequest of(DispatchRequest request) {
        return new PendingRequest(request);
    }

    /**
     * Returns the request.
     *
     * @return the request, not null
     */
    DispatchRequest request() {
        return request;
    }

    /**
     * Returns the failed attempts.
     *
     * @return the history, not null
     */
    AttemptHistory history() {
        return history;
    }

    /**
     * Returns the choice of the attempt under way.
     *
     * @return the choice, null if no attempt is under way
     */
    WorkerChoice choice() {
        return choice;
    }

    /**
     * Returns the number of attempts so far.
     *
     * @return the number, not negative
     */
    int attempts() {
        return attempts;
    }

    /**
     * Returns how long the attempt under way has taken.
     *
     * @param nowMillis  the present time in milliseconds
     * @return the milliseconds, not negative
     */
    long latencyMillis(long nowMillis) {
        return Math.max(0, nowMillis - attemptStartMillis);
    }

    /**
     * Records the start of an attempt.
     *
     * @param newChoice  the choice, not null
     * @param nowMillis  the present time in milliseconds
     */
    void attemptStarted(WorkerChoice newChoice, long nowMillis) {
        choice = newChoice;
        attemptStartMillis = nowMillis;
        attempts++;
    }

    /**
     * Records the end of the attempt under way.
     *
     * @return the choice of the attempt, not null
     */
    WorkerChoice attemptEnded() {
        WorkerChoice ended = choice;
        choice = null;
        return ended;
    }

    /**
     * Records a failed attempt.
     *
     * @param failure  the failure, not null
     */
    void recordFailure(AttemptFailure failure) {
        history = history.plus(failure);
    }
}
