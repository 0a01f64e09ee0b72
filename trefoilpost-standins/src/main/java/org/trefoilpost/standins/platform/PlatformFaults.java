package org.trefoilpost.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.trefoilpost.standins.http.Json;

/**
 * The faults that the platform shows at present.
 */
final class PlatformFaults {
    private final boolean down;
    private final boolean silent;
    private final long latencyMillis;
    private final double loseAnswers;
    private final long delayWritesMillis;

    private PlatformFaults(JsonNode json) {
        this.down = json.path("down").asBoolean();
        this.silent = json.path("silent").asBoolean();
        this.latencyMillis = json.path("latencyMillis").asLong();
        this.loseAnswers = json.path("loseAnswers").asDouble();
        this.delayWritesMillis = json.path("delayWritesMillis").asLong();
    }

    static PlatformFaults none() {
        return new PlatformFaults(Json.object());
    }

    /**
     * Returns a copy in which the fields that a JSON object names have its values.
     */
    PlatformFaults with(ObjectNode change) {
        ObjectNode merged = toJson();
        merged.setAll(change);
        return new PlatformFaults(merged);
    }

    boolean isDown() {
        return down;
    }

    boolean isSilent() {
        return silent;
    }

    long latencyMillis() {
        return latencyMillis;
    }

    double loseAnswers() {
        return loseAnswers;
    }

    long delayWritesMillis() {
        return delayWritesMillis;
    }

    ObjectNode toJson() {
        return Json.object()
                .put("down", down)
                .put("silent", silent)
                .put("latencyMillis", latencyMillis)
                .put("loseAnswers", loseAnswers)
                .put("delayWritesMillis", delayWritesMillis);
    }
}
