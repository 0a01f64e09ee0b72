package org.trefoilpost.decision.plan;

import java.util.Objects;
import java.util.Optional;
import org.trefoilpost.model.PoolName;

/**
 * An intent to maintain every worker of a pool, or of the whole fleet, once.
 */
public final class WaveIntent implements Intent {
    private final Optional<PoolName> pool;

    private WaveIntent(Optional<PoolName> pool) {
        this.pool = Objects.requireNonNull(pool, "pool");
    }

    /**
     * Returns an intent to maintain every worker once.
     *
     * @param pool  the pool, empty for the whole fleet, not null
     * @return the intent, not null
     */
    public static WaveIntent of(Optional<PoolName> pool) {
        return new WaveIntent(pool);
    }

    @Override
    public String kind() {
        return "wave";
    }

    /**
     * Returns the pool, empty for the whole fleet.
     *
     * @return the pool, not null
     */
    public Optional<PoolName> pool() {
        return pool;
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof WaveIntent other && other.pool.equals(pool);
    }

    @Override
    public int hashCode() {
        return Objects.hash(pool);
    }

    /**
     * Returns the kind and the values of the fields.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return kind() + " " + pool;
    }
}
