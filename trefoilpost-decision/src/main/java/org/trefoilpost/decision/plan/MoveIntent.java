package org.trefoilpost.decision.plan;

import java.util.Objects;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.WorkerId;

/**
 * An intent to move a worker to another pool permanently.
 */
public final class MoveIntent implements Intent {
    private final WorkerId worker;
    private final PoolName pool;

    private MoveIntent(WorkerId worker, PoolName pool) {
        this.worker = Objects.requireNonNull(worker, "worker");
        this.pool = Objects.requireNonNull(pool, "pool");
    }

    /**
     * Returns an intent to move a worker.
     *
     * @param worker  the worker to move, not null
     * @param pool  the pool that the worker moves to, not null
     * @return the intent, not null
     */
    public static MoveIntent of(WorkerId worker, PoolName pool) {
        return new MoveIntent(worker, pool);
    }

    @Override
    public String kind() {
        return "move";
    }

    /**
     * Returns the worker to move.
     *
     * @return the worker, not null
     */
    public WorkerId worker() {
        return worker;
    }

    /**
     * Returns the pool that the worker moves to.
     *
     * @return the target pool, not null
     */
    public PoolName pool() {
        return pool;
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof MoveIntent other && other.worker.equals(worker) && other.pool.equals(pool);
    }

    @Override
    public int hashCode() {
        return Objects.hash(worker, pool);
    }

    /**
     * Returns the kind and the values of the fields.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return kind() + " " + worker + " " + pool;
    }
}
