package org.trefoilpost.standins.worker;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;
import org.trefoilpost.standins.http.Json;

/**
 * Counts of a worker's requests; the owner guards it.
 */
final class WorkerCounters {
    private final Map<String, Long> rejected = new TreeMap<>();
    private long started;
    private long ended;
    private long maxInFlight;

    WorkerCounters() {}

    void started(int inFlight) {
        started++;
        maxInFlight = Math.max(maxInFlight, inFlight);
    }

    void ended() {
        ended++;
    }

    void rejected(String reason) {
        rejected.merge(reason, 1L, Long::sum);
    }

    ObjectNode toJson() {
        ObjectNode json =
                Json.object().put("started", started).put("ended", ended).put("maxInFlight", maxInFlight);
        ObjectNode reasons = json.putObject("rejected");
        rejected.forEach(reasons::put);
        return json;
    }
}
