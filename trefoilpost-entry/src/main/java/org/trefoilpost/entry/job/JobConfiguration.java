package org.trefoilpost.entry.job;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.trefoilpost.decision.job.QueueConfig;

/**
 * What operators have configured: the queues and the pools.
 *
 * @param version  the version, which rises with each change
 * @param queues  the queues by name, not null
 * @param pools  the names of the pools that run jobs, not null
 * @param sparePools  the names of the pools whose machines are off, not null
 * @param maxBodyBytes  the most bytes that a request's body may have
 */
public record JobConfiguration(
        long version, Map<String, QueueConfig> queues, Set<String> pools, Set<String> sparePools, int maxBodyBytes) {
    /**
     * Constructs a configuration.
     */
    public JobConfiguration {
        queues = Map.copyOf(queues);
        pools = Set.copyOf(pools);
        sparePools = Set.copyOf(sparePools);
    }

    /**
     * Indexes queues by name.
     *
     * @param rules  the queues, not null
     * @return the index, not null
     */
    public static Map<String, QueueConfig> byName(Collection<QueueConfig> rules) {
        Map<String, QueueConfig> byName = new LinkedHashMap<>();
        rules.forEach(rule -> byName.put(rule.name(), rule));
        return byName;
    }

    /**
     * Finds the queue of a request: the one with the longest matching prefix.
     *
     * @param host  the host name that the caller sent, not null
     * @param path  the path, not null
     * @return the queue, empty if none matches, not null
     */
    public Optional<QueueConfig> findQueue(String host, String path) {
        QueueConfig best = null;
        for (QueueConfig rule : queues.values()) {
            boolean matches = rule.host().equalsIgnoreCase(host) && path.startsWith(rule.prefix());
            if (matches
                    && (best == null || rule.prefix().length() > best.prefix().length())) {
                best = rule;
            }
        }
        return Optional.ofNullable(best);
    }
}
