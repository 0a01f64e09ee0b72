package org.trefoilpost.standins.relay;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.trefoilpost.standins.http.Json;

/**
 * The faults that a relay shows at present.
 */
final class RelayFaults {
    private final long delayMillis;
    private final boolean cut;
    private final long dropAfterBytes;
    private final boolean halfOpen;
    private final boolean holdAnswers;

    private RelayFaults(JsonNode json) {
        this.delayMillis = json.path("delayMillis").asLong();
        this.cut = json.path("cut").asBoolean();
        this.dropAfterBytes = json.path("dropAfterBytes").asLong();
        this.halfOpen = json.path("halfOpen").asBoolean();
        this.holdAnswers = json.path("holdAnswers").asBoolean();
    }

    static RelayFaults none() {
        return new RelayFaults(Json.object());
    }

    /**
     * Returns a copy in which the fields that a JSON object names have its values.
     */
    RelayFaults with(ObjectNode change) {
        ObjectNode merged = toJson();
        merged.setAll(change);
        return new RelayFaults(merged);
    }

    long delayMillis() {
        return delayMillis;
    }

    boolean isCut() {
        return cut;
    }

    /**
     * Returns the bytes of both directions that a connection forwards before it is closed, 0 for no limit.
     */
    long dropAfterBytes() {
        return dropAfterBytes;
    }

    boolean isHalfOpen() {
        return halfOpen;
    }

    /**
     * Returns whether bytes from the target are held back, while those of the client are forwarded.
     */
    boolean holdsAnswers() {
        return holdAnswers;
    }

    ObjectNode toJson() {
        return Json.object()
                .put("delayMillis", delayMillis)
                .put("cut", cut)
                .put("dropAfterBytes", dropAfterBytes)
                .put("halfOpen", halfOpen)
                .put("holdAnswers", holdAnswers);
    }
}
