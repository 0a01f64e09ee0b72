package org.trefoilpost.standins.worker;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.trefoilpost.standins.http.BadCallException;

/**
 * What a task needs, as the body of its start says.
 */
final class TaskSpec {
    private static final String CHECKPOINT_START = "done-millis:";

    private final String kind;
    private final int cores;
    private final long memoryMb;
    private final int accelerators;
    private final int slots;
    private final long runMillis;
    private final long doneMillis;

    private TaskSpec(JsonNode json) {
        this.kind = json.path("kind").asText();
        this.cores = json.path("cores").asInt();
        this.memoryMb = json.path("memoryMb").asLong();
        this.accelerators = json.path("accelerators").asInt();
        this.slots = json.path("slots").asInt();
        this.runMillis = json.path("runMillis").asLong();
        this.doneMillis = json.hasNonNull("checkpoint")
                ? parseCheckpoint(json.path("checkpoint").asText())
                : 0;
    }

    static TaskSpec of(ObjectNode json) {
        return new TaskSpec(json);
    }

    /**
     * Writes the checkpoint of a task that has run for a while.
     */
    static String checkpoint(long doneMillis) {
        return CHECKPOINT_START + doneMillis;
    }

    private static long parseCheckpoint(String text) {
        try {
            if (text.startsWith(CHECKPOINT_START)) {
                return Long.parseLong(text.substring(CHECKPOINT_START.length()));
            }
        } catch (NumberFormatException e) {
            throw new BadCallException("the checkpoint '" + text + "' is not one of this kind of worker", e);
        }
        throw new BadCallException("the checkpoint '" + text + "' is not one of this kind of worker");
    }

    String kind() {
        return kind;
    }

    int cores() {
        return cores;
    }

    long memoryMb() {
        return memoryMb;
    }

    int accelerators() {
        return accelerators;
    }

    int slots() {
        return slots;
    }

    long runMillis() {
        return runMillis;
    }

    long doneMillis() {
        return doneMillis;
    }
}
