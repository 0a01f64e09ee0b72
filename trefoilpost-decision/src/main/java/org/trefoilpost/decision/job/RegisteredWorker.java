package org.trefoilpost.decision.job;

import java.util.List;
import java.util.Objects;

/**
 * What the registry says of a worker.
 *
 * @param id  the identifier of this life of the worker, not null
 * @param machine  the machine that the worker runs on, without text if it is not known, not null
 * @param pool  the pool that the worker belongs to, not null
 * @param address  the worker's address as {@code host:port}, not null
 * @param dataCentre  the worker's data centre, not null
 * @param labels  the worker's labels, its rack last, not null
 * @param capacity  the worker's resources, not null
 * @param draining  true if the worker is about to leave
 */
public record RegisteredWorker(
        String id,
        String machine,
        String pool,
        String address,
        String dataCentre,
        List<String> labels,
        ResourceAmount capacity,
        boolean draining) {
    /**
     * Constructs a report.
     */
    public RegisteredWorker {
        Objects.requireNonNull(id, "id");
        labels = List.copyOf(labels);
    }

    /**
     * Returns the label of the worker's rack.
     *
     * @return the label, without text if the worker has none, not null
     */
    public String rack() {
        return labels.isEmpty() ? "" : labels.get(labels.size() - 1);
    }
}
