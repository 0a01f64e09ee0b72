package org.trefoilpost.decision.wave;

import java.util.Objects;
import org.trefoilpost.model.PoolName;

/**
 * Reports that failures reduced a pool's capacity below its availability budget while steps of the plan are in progress.
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
     * @param pool  the pool whose budget is exceeded, not null
     * @param excess  the number of workers that the pool lacks, positive
     * @return the event, not null
     */
    public static BudgetExceeded of(PoolName pool, int excess) {
        return new BudgetExceeded(pool, excess);
    }

    /**
     * Returns the pool whose budget is exceeded.
     *
     * @return the pool, not null
     */
    public PoolName pool() {
        return pool;
    }

    /**
     * Returns the number of workers that the pool lacks to meet its budget.
     *
     * @return the count, positive
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
