package org.trefoilpost.standins.worker;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.trefoilpost.standins.http.Json;

/**
 * The faults that a worker shows at present.
 */
final class WorkerFaults {
    private final long slowMillis;
    private final boolean failFast;
    private final double breakAnswers;
    private final boolean hang;
    private final boolean rejectAll;
    private final boolean failTasks;

    private WorkerFaults(JsonNode json) {
        this.slowMillis = json.path("slowMillis").asLong();
        this.failFast = json.path("failFast").asBoolean();
        this.breakAnswers = json.path("breakAnswers").asDouble();
        this.hang = json.path("hang").asBoolean();
        this.rejectAll = json.path("rejectAll").asBoolean();
        this.failTasks = json.path("failTasks").asBoolean();
    }

    static WorkerFaults none() {
        return new WorkerFaults(Json.object());
    }

    /**
     * Returns a copy in which the fields that a JSON object names have its values.
     */
    WorkerFaults with(ObjectNode change) {
        ObjectNode merged = toJson();
        merged.setAll(change);
        return new WorkerFaults(merged);
    }

    long slowMillis() {
        return slowMillis;
    }

    boolean failsFast() {
        return failFast;
    }

    double breakAnswers() {
        return breakAnswers;
    }

    boolean hangs() {
        return hang;
    }

    boolean rejectsAll() {
        return rejectAll;
    }

    boolean failsTasks() {
        return failTasks;
    }

    ObjectNode toJson() {
        return Json.object()
                .put("slowMillis", slowMillis)
                .put("failFast", failFast)
                .put("breakAnswers", breakAnswers)
                .put("hang", hang)
                .put("rejectAll", rejectAll)
                .put("failTasks", failTasks);
    }
}
