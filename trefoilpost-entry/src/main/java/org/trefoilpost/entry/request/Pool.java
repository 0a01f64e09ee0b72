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
 * A pool at this entry: its settings in force and its dispatcher. The duty's thread owns it.
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
     * Returns the name.
     *
     * @return the name, not null
     */
    PoolName name() {
        return name;
    }

    /**
     * Returns the settings in force.
     *
     * @return the settings, not null
     */
    PoolSettings settings() {
        return settings;
    }

    /**
     * Returns the dispatcher.
     *
     * @return the dispatcher, not null
     */
    PoolDispatcher dispatcher() {
        return dispatcher;
    }

    /**
     * Returns whether the configuration in force no longer has the pool.
     *
     * @return true if the pool takes no new requests
     */
    boolean isRemoved() {
        return removed;
    }

    /**
     * Returns the ejected workers.
     *
     * @return the workers, not null
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
     * Records the pool's workers.
     *
     * @param workers  the workers, not null
     */
    void replaceWorkers(Collection<Worker> workers) {
        this.workers = List.copyOf(workers);
    }

    /**
     * Sets the settings in force.
     *
     * @param newSettings  the settings, not null
     */
    void settings(PoolSettings newSettings) {
        this.settings = newSettings;
        this.removed = false;
    }

    /**
     * Records that the configuration in force no longer has the pool.
     */
    void markRemoved() {
        this.removed = true;
    }
}
