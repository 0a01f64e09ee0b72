package org.trefoilpost.entry.job;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.trefoilpost.decision.job.QueueConfig;
import org.trefoilpost.decision.job.team.Teams;

/**
 * The configuration that operators have set: the queues and the pools.
 *
 * @param version  the version, which increases with each change
 * @param queues  the queues by name, not null
 * @param pools  the names of the pools that run jobs, not null
 * @param sparePools  the names of the pools that hold spare machines, which are off, not null
 * @param maxBodyBytes  the maximum size of a request's body, in bytes
 * @param teams  the teams and their keys, not null
 */
public record JobConfiguration(
        long version,
        Map<String, QueueConfig> queues,
        Set<String> pools,
        Set<String> sparePools,
        int maxBodyBytes,
        Teams teams) {
    /**
     * Constructs a configuration with copies of the collections.
     */
    public JobConfiguration {
        queues = Map.copyOf(queues);
        pools = Set.copyOf(pools);
        sparePools = Set.copyOf(sparePools);
        Objects.requireNonNull(teams, "teams");
    }

    /**
     * Indexes queues by name.
     *
     * @param queues  the queues, not null; of several with one name the last is used
     * @return the queues by name, in the given order, not null
     */
    public static Map<String, QueueConfig> byName(Collection<QueueConfig> queues) {
        Map<String, QueueConfig> byName = new LinkedHashMap<>();
        queues.forEach(queue -> byName.put(queue.name(), queue));
        return byName;
    }

    /**
     * Finds the queue of a request: of the queues with this host name, the one with the longest matching path prefix.
     *
     * @param host  the host name that the caller sent, compared without regard to case, not null
     * @param path  the path of the request, not null
     * @return the queue, empty if none matches, not null
     */
    public Optional<QueueConfig> findQueue(String host, String path) {
        QueueConfig best = null;
        for (QueueConfig queue : queues.values()) {
            boolean matches = queue.host().equalsIgnoreCase(host) && path.startsWith(queue.prefix());
            if (matches
                    && (best == null || queue.prefix().length() > best.prefix().length())) {
                best = queue;
            }
        }
        return Optional.ofNullable(best);
    }
}
