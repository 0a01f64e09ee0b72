package org.trefoilpost.decision.plan;

import java.util.Objects;
import org.trefoilpost.model.PoolName;

/**
 * An intent to grow or shrink a pool by a number of workers.
 */
public final class ResizeIntent implements Intent {
    private final boolean grow;
    private final PoolName pool;
    private final int workerCount;

    private ResizeIntent(boolean grow, PoolName pool, int workerCount) {
        this.grow = grow;
        this.pool = Objects.requireNonNull(pool, "pool");
        this.workerCount = workerCount;
    }

    /**
     * Returns an intent to grow or shrink a pool.
     *
     * @param grow  true to grow the pool, false to shrink it
     * @param pool  the pool, not null
     * @param workerCount  the number of workers to add or remove, at least 1
     * @return the intent, not null
     * @throws IllegalArgumentException if the number of workers is less than 1
     */
    public static ResizeIntent of(boolean grow, PoolName pool, int workerCount) {
        if (workerCount < 1) {
            throw new IllegalArgumentException("workerCount must be at least 1: " + workerCount);
        }
        return new ResizeIntent(grow, pool, workerCount);
    }

    @Override
    public String kind() {
        return grow ? "grow" : "shrink";
    }

    /**
     * Returns whether the pool grows.
     *
     * @return true to grow the pool, false to shrink it
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
     * Returns the number of workers to add or remove.
     *
     * @return the number, at least 1
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
     * Returns the kind and the values of the fields.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return kind() + " " + grow + " " + pool + " " + workerCount;
    }
}
