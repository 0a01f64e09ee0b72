package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

class WaitGaugesTest {
    private static final String NAME = "trefoilpost.jobs.long.running.wait.millis";

    private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
    private final WaitGauges gauges = new WaitGauges(registry);

    @Test
    void showsTheLongestWaitByPoolAndReason() {
        gauges.update("p1", Map.of("run-unresolved", 4_000L, "no-room", 700L));
        gauges.update("p2", Map.of("no-room", 900L));
        assertEquals(Map.of("p1/run-unresolved", 4_000.0, "p1/no-room", 700.0, "p2/no-room", 900.0), values());
    }

    @Test
    void endedWaitIsZero() {
        gauges.update("p", Map.of("run-unresolved", 4_000L));
        gauges.update("p", Map.of("no-room", 4_500L));
        assertEquals(Map.of("p/run-unresolved", 0.0, "p/no-room", 4_500.0), values());
        gauges.update("p", Map.of());
        assertEquals(Map.of("p/run-unresolved", 0.0, "p/no-room", 0.0), values());
    }

    @Test
    void lostPoolHasNoGauges() {
        gauges.update("p1", Map.of("run-unresolved", 4_000L));
        gauges.update("p2", Map.of("run-unresolved", 600L));
        gauges.remove("p1");
        gauges.remove("p1");
        assertEquals(Map.of("p2/run-unresolved", 600.0), values());
        gauges.update("p1", Map.of("run-unresolved", 500L));
        assertEquals(Map.of("p1/run-unresolved", 500.0, "p2/run-unresolved", 600.0), values());
    }

    private Map<String, Double> values() {
        Map<String, Double> values = new TreeMap<>();
        for (Gauge gauge : registry.find(NAME).gauges()) {
            values.put(gauge.getId().getTag("pool") + '/' + gauge.getId().getTag("reason"), gauge.value());
        }
        return values;
    }
}
