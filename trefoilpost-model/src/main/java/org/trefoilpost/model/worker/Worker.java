package org.trefoilpost.model.worker;

import java.util.Objects;
import org.trefoilpost.model.DataCentreName;
import org.trefoilpost.model.Endpoint;
import org.trefoilpost.model.RackName;
import org.trefoilpost.model.RegionName;
import org.trefoilpost.model.WorkerId;

/**
 * A worker as the platform's list shows it.
 */
public final class Worker {
    private final WorkerId id;
    private final RackName rack;
    private final DataCentreName dataCentre;
    private final RegionName region;
    private final Endpoint endpoint;
    private final long incarnation;
    private final WorkerState state;
    private final Resources resources;
    private final int maxConnections;

    private Worker(Builder builder) {
        this.id = Objects.requireNonNull(builder.id, "id");
        this.rack = Objects.requireNonNull(builder.rack, "rack");
        this.dataCentre = Objects.requireNonNull(builder.dataCentre, "dataCentre");
        this.region = Objects.requireNonNull(builder.region, "region");
        this.endpoint = Objects.requireNonNull(builder.endpoint, "endpoint");
        this.incarnation = builder.incarnation;
        this.state = builder.state;
        this.resources = builder.resources;
        this.maxConnections = builder.maxConnections;
    }

    /**
     * Returns a builder of a live worker without resources.
     *
     * @param id  the worker's name, not null
     * @return the builder, not null
     */
    public static Builder builder(WorkerId id) {
        return new Builder(id);
    }

    /**
     * Returns the worker's name.
     *
     * @return the name, not null
     */
    public WorkerId id() {
        return id;
    }

    /**
     * Returns the worker's rack.
     *
     * @return the rack, not null
     */
    public RackName rack() {
        return rack;
    }

    /**
     * Returns the worker's data centre.
     *
     * @return the data centre, not null
     */
    public DataCentreName dataCentre() {
        return dataCentre;
    }

    /**
     * Returns the worker's region.
     *
     * @return the region, not null
     */
    public RegionName region() {
        return region;
    }

    /**
     * Returns where the worker takes requests.
     *
     * @return the endpoint, not null
     */
    public Endpoint endpoint() {
        return endpoint;
    }

    /**
     * Returns the worker's incarnation, which grows whenever the worker starts anew.
     *
     * @return the incarnation
     */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Returns the worker's state.
     *
     * @return the state, not null
     */
    public WorkerState state() {
        return state;
    }

    /**
     * Returns what the worker has.
     *
     * @return the resources, not null
     */
    public Resources resources() {
        return resources;
    }

    /**
     * Returns the most connections that the worker accepts.
     *
     * @return the connections, not negative
     */
    public int maxConnections() {
        return maxConnections;
    }

    /**
     * Returns a copy of this worker in another state.
     *
     * @param newState  the state, not null
     * @return the copy, not null
     */
    public Worker withState(WorkerState newState) {
        return toBuilder().state(newState).build();
    }

    /**
     * Returns a builder that holds this worker's values.
     *
     * @return the builder, not null
     */
    public Builder toBuilder() {
        return new Builder(id)
                .rack(rack)
                .dataCentre(dataCentre)
                .region(region)
                .endpoint(endpoint)
                .incarnation(incarnation)
                .state(state)
                .resources(resources)
                .maxConnections(maxConnections);
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof Worker other
                && other.id.equals(id)
                && other.incarnation == incarnation
                && other.state == state
                && other.rack.equals(rack)
                && other.dataCentre.equals(dataCentre)
                && other.region.equals(region)
                && other.endpoint.equals(endpoint)
                && other.resources.equals(resources)
                && other.maxConnections == maxConnections;
    }

    @Override
    public int hashCode() {
        return Objects.hash(id, incarnation, state);
    }

    /**
     * Returns the name, incarnation and state.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return id + "#" + incarnation + " " + state.code();
    }

    /**
     * Builder of workers.
     */
    public static final class Builder {
        private final WorkerId id;
        private RackName rack;
        private DataCentreName dataCentre;
        private RegionName region;
        private Endpoint endpoint;
        private long incarnation = 1;
        private WorkerState state = WorkerState.LIVE;
        private Resources resources = Resources.NONE;
        private int maxConnections;

        private Builder(WorkerId id) {
            this.id = id;
        }

        /**
         * Sets the rack.
         *
         * @param newRack  the rack, not null
         * @return this builder, not null
         */
        public Builder rack(RackName newRack) {
            this.rack = newRack;
            return this;
        }

        /**
         * Sets the data centre.
         *
         * @param newDataCentre  the data centre, not null
         * @return this builder, not null
         */
        public Builder dataCentre(DataCentreName newDataCentre) {
            this.dataCentre = newDataCentre;
            return this;
        }

        /**
         * Sets the region.
         *
         * @param newRegion  the region, not null
         * @return this builder, not null
         */
        public Builder region(RegionName newRegion) {
            this.region = newRegion;
            return this;
        }

        /**
         * Sets where the worker takes requests.
         *
         * @param newEndpoint  the endpoint, not null
         * @return this builder, not null
         */
        public Builder endpoint(Endpoint newEndpoint) {
            this.endpoint = newEndpoint;
            return this;
        }

        /**
         * Sets the incarnation.
         *
         * @param newIncarnation  the incarnation
         * @return this builder, not null
         */
        public Builder incarnation(long newIncarnation) {
            this.incarnation = newIncarnation;
            return this;
        }

        /**
         * Sets the state.
         *
         * @param newState  the state, not null
         * @return this builder, not null
         */
        public Builder state(WorkerState newState) {
            this.state = Objects.requireNonNull(newState, "state");
            return this;
        }

        /**
         * Sets what the worker has.
         *
         * @param newResources  the resources, not null
         * @return this builder, not null
         */
        public Builder resources(Resources newResources) {
            this.resources = Objects.requireNonNull(newResources, "resources");
            return this;
        }

        /**
         * Sets the most connections that the worker accepts.
         *
         * @param newConnections  the connections, not negative
         * @return this builder, not null
         */
        public Builder maxConnections(int newConnections) {
            this.maxConnections = newConnections;
            return this;
        }

        /**
         * Builds the worker.
         *
         * @return the worker, not null
         * @throws NullPointerException if the rack, data centre, region or endpoint is missing
         */
        public Worker build() {
            return new Worker(this);
        }
    }
}
