package org.trefoilpost.entry.request;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.trefoilpost.decision.dispatch.PoolDispatcher;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.configuration.PoolSettings;
import org.trefoilpost.model.worker.Worker;

/**
 * A pool as this entry serves it: its current settings, its workers and its dispatcher.
 *
 * <p>Not thread-safe: confined to the thread of the request service.
 */
final class Pool {
    private final PoolName name;
    private final PoolDispatcher dispatcher;
    private PoolSettings settings;
    private boolean removed;
    private Collection<Worker> workers = List.of();

    Pool(PoolSettings settings, PoolDispatcher dispatcher) {
        this.name = settings.name();
        this.settings = settings;
        this.dispatcher = dispatcher;
    }

    /**
     * Returns the pool's name.
     *
     * @return the name, not null
     */
    PoolName name() {
        return name;
    }

    /**
     * Returns the current settings.
     *
     * @return the settings, not null
     */
    PoolSettings settings() {
        return settings;
    }

    /**
     * Returns the dispatcher, which queues the pool's requests and selects their workers.
     *
     * @return the dispatcher, not null
     */
    PoolDispatcher dispatcher() {
        return dispatcher;
    }

    /**
     * Returns whether the current configuration no longer has the pool.
     *
     * @return true if the pool accepts no new requests
     */
    boolean isRemoved() {
        return removed;
    }

    /**
     * Returns the workers that the router ejected because of their failures.
     *
     * @return the identifiers of the ejected workers, not null
     */
    List<WorkerId> ejectedWorkers() {
        List<WorkerId> ejected = new ArrayList<>();
        for (Worker worker : workers) {
            if (dispatcher.router().ejected(worker.id())) {
                ejected.add(worker.id());
            }
        }
        return ejected;
    }

    /**
     * Replaces the workers that are checked for ejection.
     *
     * @param newWorkers  all workers of the pool, not null
     */
    void replaceWorkers(Collection<Worker> newWorkers) {
        this.workers = List.copyOf(newWorkers);
    }

    /**
     * Sets the current settings and marks the pool as configured again.
     *
     * @param newSettings  the settings, not null
     */
    void settings(PoolSettings newSettings) {
        this.settings = newSettings;
        this.removed = false;
    }

    /**
     * Marks the pool as removed from the current configuration.
     */
    void markRemoved() {
        this.removed = true;
    }
}
