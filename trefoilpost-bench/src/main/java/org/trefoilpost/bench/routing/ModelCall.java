package org.trefoilpost.bench.routing;

import org.trefoilpost.decision.admission.AdmissionRequest;
import org.trefoilpost.decision.retry.AttemptHistory;

/**
 * A request of a caller and what became of it.
 */
final class ModelCall {
    private final AdmissionRequest request;
    private final boolean repeatable;
    private final long arrivedMillis;
    private AttemptHistory history = AttemptHistory.empty();
    private boolean attempted;
    private boolean ended;

    ModelCall(AdmissionRequest request, boolean repeatable, long arrivedMillis) {
        this.request = request;
        this.repeatable = repeatable;
        this.arrivedMillis = arrivedMillis;
    }

    AdmissionRequest request() {
        return request;
    }

    boolean repeatable() {
        return repeatable;
    }

    long arrivedMillis() {
        return arrivedMillis;
    }

    AttemptHistory history() {
        return history;
    }

    void history(AttemptHistory newHistory) {
        this.history = newHistory;
    }

    /** Marks the call as attempted and returns whether it was not before. */
    boolean firstAttempt() {
        boolean first = !attempted;
        attempted = true;
        return first;
    }

    boolean ended() {
        return ended;
    }

    /** Marks the call as ended and returns whether it was not before. */
    boolean end() {
        boolean first = !ended;
        ended = true;
        return first;
    }
}
