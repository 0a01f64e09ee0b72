package org.trefoilpost.standins.worker;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.trefoilpost.standins.http.BadCallException;
import org.trefoilpost.standins.http.HttpCall;
import org.trefoilpost.standins.http.Json;

/**
 * What a worker reads out of a caller's request.
 */
final class WorkerRequest {
    private final Optional<String> requestId;
    private final Optional<String> key;
    private final String path;
    private final long deadlineMillis;

    private WorkerRequest(HttpCall call) {
        this.requestId = call.header("Trefoilpost-Request-Id");
        this.key = call.header("Idempotency-Key");
        this.path = call.target();
        this.deadlineMillis = call.header("Trefoilpost-Deadline-Millis")
                .map(WorkerRequest::parseDeadline)
                .orElse(Long.MAX_VALUE);
    }

    static WorkerRequest of(HttpCall call) {
        return new WorkerRequest(call);
    }

    private static long parseDeadline(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new BadCallException("the header Trefoilpost-Deadline-Millis is not a whole number", e);
        }
    }

    Optional<String> requestId() {
        return requestId;
    }

    boolean isLate() {
        return deadlineMillis <= 0;
    }

    ObjectNode toJson() {
        return Json.object()
                .put("requestId", requestId.orElse(null))
                .put("key", key.orElse(null))
                .put("path", path);
    }
}
