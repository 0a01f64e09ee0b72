package org.trefoilpost.decision.plan;

import java.util.Objects;
import org.trefoilpost.model.PoolName;

/**
 * Grows or shrinks a pool by a number of workers.
 */
public final class ResizeIntent implements Intent {
    private final boolean grow;
    private final PoolName pool;
    private final int workerCount;

    private ResizeIntent(boolean grow, PoolName pool, int by) {
        this.grow = grow;
        this.pool = Objects.requireNonNull(pool, "pool");
        this.workerCount = by;
    }

    /**
     * Obtains the intent.
     *
     * @param grow  the direction, true to grow
     * @param pool  the pool, not null
     * @param by  the number of workers
     * @return the intent, not null
     * @throws IllegalArgumentException if a number is less than 1
     */
    public static ResizeIntent of(boolean grow, PoolName pool, int by) {
        if (by < 1) {
            throw new IllegalArgumentException("by must be at least 1: " + by);
        }
        return new ResizeIntent(grow, pool, by);
    }

    @Override
    public String kind() {
        return grow ? "grow" : "shrink";
    }

    /**
     * Returns the direction, true to grow.
     *
     * @return the direction
     */
    public boolean grow() {
        return grow;
    }

    /**
     * Returns the pool.
     *
     * @return the pool, not null
     */
    public PoolName pool() {
        return pool;
    }

    /**
     * Returns the number of workers.
     *
     * @return the number of workers
     */
    public int workerCount() {
        return workerCount;
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof ResizeIntent other
                && other.grow == grow
                && other.pool.equals(pool)
                && other.workerCount == workerCount;
    }

    @Override
    public int hashCode() {
        return Objects.hash(grow, pool, workerCount);
    }

    /**
     * Returns the kind and the fields.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return kind() + " " + grow + " " + pool + " " + workerCount;
    }
}
