package org.trefoilpost.entry.job;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Gauges of how long long-running tasks have not run in the pools of this entry, by the reason.
 */
final class WaitGauges {
    private static final String NAME = "trefoilpost.jobs.long.running.wait.millis";

    private final MeterRegistry registry;
    /** The longest waits by pool and reason. */
    private final Map<String, Map<String, Long>> values = new ConcurrentHashMap<>();
    /** The gauges by pool and reason. Used on the service's thread only. */
    private final Map<String, Map<String, Gauge>> gauges = new HashMap<>();

    WaitGauges(MeterRegistry registry) {
        this.registry = registry;
    }

    /**
     * Sets the longest waits of a pool, in milliseconds by reason. Used on the service's thread only.
     */
    void update(String pool, Map<String, Long> waits) {
        // The map is the former one until the pool is observed again.
        if (values.put(pool, waits) != waits) {
            Map<String, Gauge> ofPool = gauges.computeIfAbsent(pool, name -> new HashMap<>());
            waits.keySet().forEach(reason -> ofPool.computeIfAbsent(reason, name -> register(pool, name)));
        }
    }

    /**
     * Removes the gauges of a pool that this entry no longer owns. Used on the service's thread only.
     */
    void remove(String pool) {
        values.remove(pool);
        Map<String, Gauge> removed = gauges.remove(pool);
        if (removed != null) {
            removed.values().forEach(registry::remove);
        }
    }

    private Gauge register(String pool, String reason) {
        return Gauge.builder(NAME, values, all -> millis(all, pool, reason))
                .tag("pool", pool)
                .tag("reason", reason)
                .strongReference(true)
                .register(registry);
    }

    private static long millis(Map<String, Map<String, Long>> all, String pool, String reason) {
        return all.getOrDefault(pool, Map.of()).getOrDefault(reason, 0L);
    }
}
