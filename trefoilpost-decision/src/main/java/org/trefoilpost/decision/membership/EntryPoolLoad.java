package org.trefoilpost.decision.membership;

import java.util.Map;
import java.util.Objects;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.WorkerId;

/**
 * An entry's load in one pool: the requests that wait and the attempts in flight at each worker.
 */
public final class EntryPoolLoad {
    private final PoolName pool;
    private final int queued;
    private final Map<WorkerId, Integer> inFlight;

    private EntryPoolLoad(PoolName pool, int queued, Map<WorkerId, Integer> inFlight) {
        this.pool = pool;
        this.queued = queued;
        this.inFlight = inFlight;
    }

    /**
     * Obtains a load.
     *
     * @param pool  the pool, not null
     * @param queued  the requests that wait, not negative
     * @param inFlight  the attempts in flight at each worker that has any, not null
     * @return the load, not null
     * @throws IllegalArgumentException if a count is negative
     */
    public static EntryPoolLoad of(PoolName pool, int queued, Map<WorkerId, Integer> inFlight) {
        if (queued < 0 || inFlight.values().stream().anyMatch(count -> count < 0)) {
            throw new IllegalArgumentException("counts of pool " + pool + " must not be negative");
        }
        return new EntryPoolLoad(Objects.requireNonNull(pool, "pool"), queued, Map.copyOf(inFlight));
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
     * Returns the requests that wait.
     *
     * @return the requests, not negative
     */
    public int queued() {
        return queued;
    }

    /**
     * Returns the attempts in flight at each worker that has any.
     *
     * @return the attempts, not null
     */
    public Map<WorkerId, Integer> inFlight() {
        return inFlight;
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof EntryPoolLoad other
                && other.pool.equals(pool)
                && other.queued == queued
                && other.inFlight.equals(inFlight);
    }

    @Override
    public int hashCode() {
        return Objects.hash(pool, queued, inFlight);
    }

    /**
     * Returns the pool and its counts.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return pool + ": " + queued + " queued, in flight " + inFlight;
    }
}
