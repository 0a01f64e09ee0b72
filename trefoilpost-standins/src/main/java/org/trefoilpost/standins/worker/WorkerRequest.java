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

    private WorkerRequest(Optional<String> requestId, Optional<String> key, String path, long deadlineMillis) {
        this.requestId = requestId;
        this.key = key;
        this.path = path;
        this.deadlineMillis = deadlineMillis;
    }

    static WorkerRequest of(Optional<String> requestId, Optional<String> key, String path, long deadlineMillis) {
        return new WorkerRequest(requestId, key, path, deadlineMillis);
    }

    static WorkerRequest of(HttpCall call) {
        long deadlineMillis = call.header("Trefoilpost-Deadline-Millis")
                .map(WorkerRequest::parseDeadline)
                .orElse(Long.MAX_VALUE);
        return of(call.header("Trefoilpost-Request-Id"), call.header("Idempotency-Key"), call.target(), deadlineMillis);
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
