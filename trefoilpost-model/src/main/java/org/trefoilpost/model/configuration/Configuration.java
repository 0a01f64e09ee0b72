package org.trefoilpost.model.configuration;

import java.util.Collections;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.RackName;
import org.trefoilpost.model.TeamName;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.capacity.PlanMeasureWeights;

/**
 * One version of all that operators set.
 */
public final class Configuration {
    private static final PlanMeasureWeights EQUAL_WEIGHTS = PlanMeasureWeights.of(1, 1, 1);

    private final long version;
    private final SortedMap<PoolName, PoolSettings> pools;
    private final SortedMap<TeamName, TeamQuota> teams;
    private final PlanMeasureWeights weights;

    private Configuration(Builder builder) {
        if (builder.version < 0) {
            throw new IllegalArgumentException("version must not be negative: " + builder.version);
        }
        this.version = builder.version;
        this.pools = Collections.unmodifiableSortedMap(new TreeMap<>(builder.pools));
        this.teams = Collections.unmodifiableSortedMap(new TreeMap<>(builder.teams));
        this.weights = builder.weights;
    }

    /**
     * Starts a configuration of version 0 without pools and teams, whose weights are equal.
     *
     * @return the builder, not null
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Returns the version, which grows with each accepted change.
     *
     * @return the version, not negative, 0 if the configuration was never accepted
     */
    public long version() {
        return version;
    }

    /**
     * Returns the pools.
     *
     * @return the settings of each pool, not null, unmodifiable
     */
    public SortedMap<PoolName, PoolSettings> pools() {
        return pools;
    }

    /**
     * Finds a pool.
     *
     * @param name  the name, not null
     * @return the settings, not null, empty if there is no such pool
     */
    public Optional<PoolSettings> pool(PoolName name) {
        return Optional.ofNullable(pools.get(name));
    }

    /**
     * Returns the quotas of the teams.
     *
     * @return the quota of each team, not null, unmodifiable
     */
    public SortedMap<TeamName, TeamQuota> teams() {
        return teams;
    }

    /**
     * Returns the weights of the measures.
     *
     * @return the weights, not null
     */
    public PlanMeasureWeights weights() {
        return weights;
    }

    /**
     * Finds the pool that an instance joins when it is first seen. A pool that lists the instance's name goes before one
     * that lists its rack.
     *
     * @param worker  the instance, not null
     * @param rack  the rack of the instance, not null
     * @return the pool, not null, empty if no pool lists the instance or its rack
     */
    public Optional<PoolName> initialPool(WorkerId worker, RackName rack) {
        Optional<PoolName> byRack = Optional.empty();
        for (PoolSettings pool : pools.values()) {
            if (pool.initialWorkers().contains(worker)) {
                return Optional.of(pool.name());
            }
            if (byRack.isEmpty() && pool.initialRacks().contains(rack)) {
                byRack = Optional.of(pool.name());
            }
        }
        return byRack;
    }

    /**
     * Returns the parts that this configuration consists of.
     *
     * @return the parts, not null
     */
    public SortedSet<ConfigurationPart> parts() {
        SortedSet<ConfigurationPart> parts = new TreeSet<>();
        pools.keySet().forEach(pool -> parts.add(ConfigurationPart.pool(pool)));
        parts.add(ConfigurationPart.TEAMS);
        parts.add(ConfigurationPart.WEIGHTS);
        return parts;
    }

    /**
     * Returns a copy of this configuration with another version.
     *
     * @param newVersion  the version, not negative
     * @return the copy, not null
     */
    public Configuration withVersion(long newVersion) {
        return toBuilder().version(newVersion).build();
    }

    /**
     * Returns a builder that starts from this configuration.
     *
     * @return the builder, not null
     */
    public Builder toBuilder() {
        Builder builder = new Builder().version(version).weights(weights);
        pools.values().forEach(builder::pool);
        teams.values().forEach(builder::team);
        return builder;
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof Configuration other
                && other.version == version
                && other.pools.equals(pools)
                && other.teams.equals(teams)
                && other.weights.equals(weights);
    }

    @Override
    public int hashCode() {
        return Objects.hash(version, pools, teams, weights);
    }

    /**
     * Returns the version and the names of the pools.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "configuration " + version + " of pools " + pools.keySet();
    }

    /**
     * Builder of configurations.
     */
    public static final class Builder {
        private final SortedMap<PoolName, PoolSettings> pools = new TreeMap<>();
        private final SortedMap<TeamName, TeamQuota> teams = new TreeMap<>();
        private long version;
        private PlanMeasureWeights weights = EQUAL_WEIGHTS;

        private Builder() {}

        /**
         * Sets the version.
         *
         * @param newVersion  the version, not negative
         * @return this builder, not null
         */
        public Builder version(long newVersion) {
            this.version = newVersion;
            return this;
        }

        /**
         * Adds a pool, or replaces the pool of the same name.
         *
         * @param pool  the settings, not null
         * @return this builder, not null
         */
        public Builder pool(PoolSettings pool) {
            pools.put(pool.name(), pool);
            return this;
        }

        /**
         * Adds a team's quota, or replaces the quota of the same team.
         *
         * @param quota  the quota, not null
         * @return this builder, not null
         */
        public Builder team(TeamQuota quota) {
            teams.put(quota.team(), quota);
            return this;
        }

        /**
         * Sets the weights of the measures.
         *
         * @param newWeights  the weights, not null
         * @return this builder, not null
         */
        public Builder weights(PlanMeasureWeights newWeights) {
            this.weights = Objects.requireNonNull(newWeights, "weights");
            return this;
        }

        /**
         * Builds the configuration.
         *
         * @return the configuration, not null
         * @throws IllegalArgumentException if the version is negative
         */
        public Configuration build() {
            return new Configuration(this);
        }
    }
}
