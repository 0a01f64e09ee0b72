package org.trefoilpost.decision.wave;

import java.util.Objects;
import org.trefoilpost.model.PoolName;

/**
 * A failure took a pool under its budget while steps of the plan are under way.
 */
public final class BudgetExceeded implements WaveEvent {
    private final PoolName pool;
    private final int excess;

    private BudgetExceeded(PoolName pool, int excess) {
        this.pool = Objects.requireNonNull(pool, "pool");
        this.excess = excess;
    }

    /**
     * Obtains the event.
     *
     * @param pool  the pool, not null
     * @param excess  the number of workers by which the budget is exceeded
     * @return the event, not null
     */
    public static BudgetExceeded of(PoolName pool, int excess) {
        return new BudgetExceeded(pool, excess);
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
     * Returns the number of workers by which the budget is exceeded.
     *
     * @return the number of workers by which the budget is exceeded
     */
    public int excess() {
        return excess;
    }

    /**
     * Returns the type and the fields.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "BudgetExceeded" + " " + pool + " " + excess;
    }
}
