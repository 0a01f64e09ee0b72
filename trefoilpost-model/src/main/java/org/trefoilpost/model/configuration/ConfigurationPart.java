package org.trefoilpost.model.configuration;

import java.util.Objects;
import java.util.Optional;
import org.trefoilpost.model.PoolName;

/**
 * Identifies a part of the configuration that is stored and sent as a separate document.
 */
public final class ConfigurationPart implements Comparable<ConfigurationPart> {
    /** The part that holds the quotas of all teams. */
    public static final ConfigurationPart TEAMS = new ConfigurationPart("teams", Optional.empty());

    /** The part that holds the weights of the measures of a plan. */
    public static final ConfigurationPart WEIGHTS = new ConfigurationPart("weights", Optional.empty());

    private static final String POOL_PREFIX = "pools/";

    private final String path;
    private final Optional<PoolName> pool;

    private ConfigurationPart(String path, Optional<PoolName> pool) {
        this.path = path;
        this.pool = pool;
    }

    /**
     * Obtains the part that holds the settings of a pool.
     *
     * @param pool  the name of the pool, not null
     * @return the part, not null
     */
    public static ConfigurationPart pool(PoolName pool) {
        return new ConfigurationPart(POOL_PREFIX + pool, Optional.of(pool));
    }

    /**
     * Parses the path of a part.
     *
     * @param path  the path: {@code pools/NAME}, {@code teams} or {@code weights}, not null
     * @return the part, not null
     * @throws IllegalArgumentException if the path has none of these forms
     */
    public static ConfigurationPart parse(String path) {
        Objects.requireNonNull(path, "path");
        if (path.equals(TEAMS.path)) {
            return TEAMS;
        }
        if (path.equals(WEIGHTS.path)) {
            return WEIGHTS;
        }
        if (path.startsWith(POOL_PREFIX)) {
            return pool(PoolName.of(path.substring(POOL_PREFIX.length())));
        }
        throw new IllegalArgumentException(
                "'" + path + "' is not a part of the configuration: pools/NAME, teams or weights is expected");
    }

    /**
     * Returns the path of this part in storage keys and documents.
     *
     * @return the path: {@code pools/NAME}, {@code teams} or {@code weights}, not null
     */
    public String path() {
        return path;
    }

    /**
     * Returns the pool whose settings this part holds.
     *
     * @return the name of the pool, not null, empty for the team quotas and the weights
     */
    public Optional<PoolName> pool() {
        return pool;
    }

    @Override
    public int compareTo(ConfigurationPart other) {
        return path.compareTo(other.path);
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof ConfigurationPart other && other.path.equals(path);
    }

    @Override
    public int hashCode() {
        return path.hashCode();
    }

    /**
     * Returns the path of this part.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return path;
    }
}
