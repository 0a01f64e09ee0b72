package org.trefoilpost.decision.job.team;

import java.util.Objects;
import org.trefoilpost.decision.job.ResourceAmount;

/**
 * A pool's row in the stored grants of a team.
 *
 * @param token  the fencing token of the owner that wrote the row
 * @param granted  the amount that the pool may have running for the team, not null
 * @param wish  the amount that the pool would use beyond its grant, not null
 * @param exclusive  true if the other pools are asked to start nothing until the wish is met
 */
public record PoolGrant(long token, ResourceAmount granted, ResourceAmount wish, boolean exclusive) {
    /** The row of a pool that is not stored. */
    public static final PoolGrant NONE = new PoolGrant(0, ResourceAmount.NONE, ResourceAmount.NONE, false);

    /**
     * Constructs a row.
     */
    public PoolGrant {
        Objects.requireNonNull(granted, "granted");
        Objects.requireNonNull(wish, "wish");
    }

    /**
     * Returns whether the pool neither holds nor wishes anything, so that its row need not be stored.
     *
     * @return true if all amounts are 0
     */
    public boolean isEmpty() {
        return Amounts.isNone(granted) && Amounts.isNone(wish) && !exclusive;
    }
}
