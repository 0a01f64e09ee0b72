package org.trefoilpost.entry.job;

import java.util.Objects;

/**
 * The queue of a request, and the version of the configuration by which the request was sent to the owner of a pool.
 *
 * @param queue  the name of the queue, not null
 * @param version  the version of the configuration
 */
public record QueueRoute(String queue, long version) {
    /**
     * Constructs a route and checks that the queue is not null.
     */
    public QueueRoute {
        Objects.requireNonNull(queue, "queue");
    }
}
