package org.trefoilpost.entry.fleet;

import java.util.Objects;
import org.trefoilpost.entry.metrics.EntryMetrics;
import org.trefoilpost.entry.platform.InstanceList;
import org.trefoilpost.entry.platform.KeyValueStore;
import org.trefoilpost.entry.runtime.MillisClock;
import org.trefoilpost.entry.target.WorkerControl;
import org.trefoilpost.model.EntryId;

/**
 * The dependencies of the fleet service.
 */
public final class FleetContext {
    private final EntryId entry;
    private final KeyValueStore store;
    private final InstanceList instances;
    private final WorkerControl workers;
    private final FleetPorts ports;
    private final EntryMetrics metrics;
    private final MillisClock clock;

    private FleetContext(Builder builder) {
        this.entry = Objects.requireNonNull(builder.entry, "entry");
        this.store = Objects.requireNonNull(builder.store, "store");
        this.instances = Objects.requireNonNull(builder.instances, "instances");
        this.workers = Objects.requireNonNull(builder.workers, "workers");
        this.ports = Objects.requireNonNull(builder.ports, "ports");
        this.metrics = Objects.requireNonNull(builder.metrics, "metrics");
        this.clock = Objects.requireNonNull(builder.clock, "clock");
    }

    /**
     * Returns a builder.
     *
     * @param entry  the name of this entry, not null
     * @return the builder, not null
     */
    public static Builder builder(EntryId entry) {
        return new Builder(entry);
    }

    EntryId entry() {
        return entry;
    }

    KeyValueStore store() {
        return store;
    }

    InstanceList instances() {
        return instances;
    }

    WorkerControl workers() {
        return workers;
    }

    FleetPorts ports() {
        return ports;
    }

    EntryMetrics metrics() {
        return metrics;
    }

    MillisClock clock() {
        return clock;
    }

    /**
     * Builder of contexts.
     */
    public static final class Builder {
        private final EntryId entry;
        private KeyValueStore store;
        private InstanceList instances;
        private WorkerControl workers;
        private FleetPorts ports;
        private EntryMetrics metrics;
        private MillisClock clock;

        private Builder(EntryId entry) {
            this.entry = entry;
        }

        /**
         * Sets the clients of the platform's services.
         *
         * @param newStore  the key-value store, not null
         * @param newInstances  the list of instances, not null
         * @return this builder, not null
         */
        public Builder platform(KeyValueStore newStore, InstanceList newInstances) {
            this.store = newStore;
            this.instances = newInstances;
            return this;
        }

        /**
         * Sets the client that controls workers.
         *
         * @param newWorkers  the client, not null
         * @return this builder, not null
         */
        public Builder workers(WorkerControl newWorkers) {
            this.workers = newWorkers;
            return this;
        }

        /**
         * Sets the access to the entry's other services and to the peers.
         *
         * @param newPorts  the access, not null
         * @return this builder, not null
         */
        public Builder ports(FleetPorts newPorts) {
            this.ports = newPorts;
            return this;
        }

        /**
         * Sets the metrics.
         *
         * @param newMetrics  the metrics, not null
         * @return this builder, not null
         */
        public Builder metrics(EntryMetrics newMetrics) {
            this.metrics = newMetrics;
            return this;
        }

        /**
         * Sets the clock.
         *
         * @param newClock  the clock, not null
         * @return this builder, not null
         */
        public Builder clock(MillisClock newClock) {
            this.clock = newClock;
            return this;
        }

        /**
         * Builds the context.
         *
         * @return the context, not null
         * @throws NullPointerException if a dependency is not set
         */
        public FleetContext build() {
            return new FleetContext(this);
        }
    }
}
