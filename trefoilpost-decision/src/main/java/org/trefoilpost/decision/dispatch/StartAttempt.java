package org.trefoilpost.decision.dispatch;

import java.util.Objects;
import org.trefoilpost.model.worker.Worker;

/**
 * Action that sends a request to a worker.
 */
public final class StartAttempt implements DispatchAction {
    private final long requestId;
    private final int attempt;
    private final Worker worker;
    private final long timeoutMillis;

    private StartAttempt(long requestId, int attempt, Worker worker, long timeoutMillis) {
        this.requestId = requestId;
        this.attempt = attempt;
        this.worker = worker;
        this.timeoutMillis = timeoutMillis;
    }

    /**
     * Obtains an instance.
     *
     * @param requestId  the id of the request
     * @param attempt  the number of the attempt, from 1
     * @param worker  the worker, not null
     * @param timeoutMillis  the time that the worker may take, in milliseconds, positive
     * @return the instance, not null
     */
    static StartAttempt of(long requestId, int attempt, Worker worker, long timeoutMillis) {
        return new StartAttempt(requestId, attempt, Objects.requireNonNull(worker, "worker"), timeoutMillis);
    }

    @Override
    public long requestId() {
        return requestId;
    }

    /**
     * Returns the number of the attempt.
     *
     * @return the number, from 1
     */
    public int attempt() {
        return attempt;
    }

    /**
     * Returns the worker.
     *
     * @return the worker, not null
     */
    public Worker worker() {
        return worker;
    }

    /**
     * Returns the time that the worker may take for the attempt.
     *
     * @return the time in milliseconds, positive
     */
    public long timeoutMillis() {
        return timeoutMillis;
    }

    /**
     * Returns the action, the id of the request, the attempt and the worker.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "StartAttempt(" + requestId + " #" + attempt + " at " + worker + ")";
    }
}
