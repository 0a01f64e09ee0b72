package org.trefoilpost.decision.inventory;

import java.util.Objects;
import java.util.Optional;
import org.trefoilpost.model.PoolName;

/**
 * The pool that a worker is assigned to, if any, and the pool that lent the worker, if it is on loan.
 */
public final class Assignment {
    /** The assignment of a worker that has no pool. */
    public static final Assignment UNASSIGNED = new Assignment(Optional.empty(), Optional.empty());

    private final Optional<PoolName> pool;
    private final Optional<PoolName> lender;

    private Assignment(Optional<PoolName> pool, Optional<PoolName> lender) {
        this.pool = pool;
        this.lender = lender;
    }

    /**
     * Obtains a permanent assignment to a pool.
     *
     * @param pool  the pool, not null
     * @return the assignment, not null
     */
    public static Assignment of(PoolName pool) {
        return new Assignment(Optional.of(pool), Optional.empty());
    }

    /**
     * Obtains an assignment by a loan; the permanent assignment if both pools are the same.
     *
     * @param pool  the pool that borrows the worker, not null
     * @param lender  the pool to which the worker is returned, not null
     * @return the assignment, not null
     */
    public static Assignment lent(PoolName pool, PoolName lender) {
        Objects.requireNonNull(lender, "lender");
        return pool.equals(lender) ? of(pool) : new Assignment(Optional.of(pool), Optional.of(lender));
    }

    /**
     * Returns the pool that the worker is assigned to.
     *
     * @return the pool, not null, empty if the worker is unassigned
     */
    public Optional<PoolName> pool() {
        return pool;
    }

    /**
     * Returns the pool to which a borrowed worker is returned.
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
