package org.trefoilpost.decision.inventory;

import java.util.Objects;
import java.util.Optional;
import org.trefoilpost.model.PoolName;

/**
 * The one pool that a worker belongs to, or none yet, and the pool that lent it.
 */
public final class Assignment {
    /** The assignment of a worker that has no pool yet. */
    public static final Assignment UNASSIGNED = new Assignment(Optional.empty(), Optional.empty());

    private final Optional<PoolName> pool;
    private final Optional<PoolName> lender;

    private Assignment(Optional<PoolName> pool, Optional<PoolName> lender) {
        this.pool = pool;
        this.lender = lender;
    }

    /**
     * Obtains the assignment to a pool.
     *
     * @param pool  the pool, not null
     * @return the assignment, not null
     */
    public static Assignment of(PoolName pool) {
        return new Assignment(Optional.of(pool), Optional.empty());
    }

    /**
     * Obtains the assignment to a pool that another pool lent the worker to.
     *
     * @param pool  the pool that the worker belongs to, not null
     * @param lender  the pool that the worker goes back to, not null
     * @return the assignment, not null
     */
    public static Assignment lent(PoolName pool, PoolName lender) {
        Objects.requireNonNull(lender, "lender");
        return pool.equals(lender) ? of(pool) : new Assignment(Optional.of(pool), Optional.of(lender));
    }

    /**
     * Returns the pool that the worker belongs to.
     *
     * @return the pool, not null, empty if the worker is unassigned
     */
    public Optional<PoolName> pool() {
        return pool;
    }

    /**
     * Returns the pool that lent the worker.
     *
     * @return the lender, not null, empty if the worker isn't on loan
     */
    public Optional<PoolName> lender() {
        return lender;
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof Assignment other && other.pool.equals(pool) && other.lender.equals(lender);
    }

    @Override
    public int hashCode() {
        return Objects.hash(pool, lender);
    }

    /**
     * Returns the pool and the lender.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return pool.map(PoolName::text).orElse("unassigned")
                + lender.map(name -> ", lent by " + name).orElse("");
    }
}
