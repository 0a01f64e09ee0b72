package org.trefoilpost.entry.job;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.trefoilpost.decision.job.QueueConfig;

/**
 * The pools to which recent configurations have sent each queue, and the requests at each address. Bridges the time until the
 * store's record of the queues that have jobs in a pool has reached this entry. Used on the service's thread only.
 */
final class FormerPools {
    /** How long a pool is kept after the configuration that named it, far longer than the store's changes take. */
    private static final long KEEP_MILLIS = 600_000;

    private final Map<String, Map<String, Long>> lastMillisByQueue = new HashMap<>();
    private final Map<String, Map<String, Long>> lastMillisByAddress = new HashMap<>();

    /**
     * Records the pools of a configuration that has been in force until now.
     */
    void record(JobConfiguration configuration, long nowMillis) {
        for (QueueConfig queue : configuration.queues().values()) {
            put(lastMillisByQueue, queue.name(), queue.pool(), nowMillis);
            put(lastMillisByAddress, queue.address(), queue.pool(), nowMillis);
        }
        removeOld(lastMillisByQueue, nowMillis);
        removeOld(lastMillisByAddress, nowMillis);
    }

    private static void put(Map<String, Map<String, Long>> map, String key, String pool, long nowMillis) {
        map.computeIfAbsent(key, any -> new HashMap<>()).put(pool, nowMillis);
    }

    private static void removeOld(Map<String, Map<String, Long>> map, long nowMillis) {
        map.values().forEach(pools -> pools.values().removeIf(lastMillis -> nowMillis - lastMillis > KEEP_MILLIS));
        map.values().removeIf(Map::isEmpty);
    }

    /**
     * Returns the pools in which a job may be that belongs to a queue, or that callers know by its address.
     */
    Set<String> of(String queue, String address) {
        Set<String> pools =
                new TreeSet<>(lastMillisByQueue.getOrDefault(queue, Map.of()).keySet());
        pools.addAll(lastMillisByAddress.getOrDefault(address, Map.of()).keySet());
        return pools;
    }
}
