package org.trefoilpost.verify.harness;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One line of a worker's run log.
 */
public final class RunEvent {
    private final JsonNode line;

    private RunEvent(JsonNode line) {
        this.line = line;
    }

    static RunEvent of(String text) {
        return new RunEvent(Http.json(text));
    }

    public String event() {
        return line.path("event").asText();
    }

    public String worker() {
        return line.path("worker").asText();
    }

    public long timeMillis() {
        return line.path("time").asLong();
    }

    public String path() {
        return line.path("path").asText();
    }

    public String key() {
        return line.path("key").asText("");
    }

    @Override
    public String toString() {
        return line.toString();
    }
}
