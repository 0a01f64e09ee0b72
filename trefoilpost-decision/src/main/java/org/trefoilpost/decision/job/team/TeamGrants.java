package org.trefoilpost.decision.job.team;

import java.util.Map;
import java.util.TreeMap;
import org.trefoilpost.decision.job.ResourceAmount;

/**
 * The grants of a team in all pools, as stored under the team's key.
 *
 * @param revision  the revision of the key, 0 if it does not exist
 * @param pools  the rows by pool, not null
 */
public record TeamGrants(long revision, Map<String, PoolGrant> pools) {
    /** The grants of a team without a key. */
    public static final TeamGrants ABSENT = new TeamGrants(0, Map.of());

    /**
     * Constructs grants with a copy of the rows.
     */
    public TeamGrants {
        pools = Map.copyOf(pools);
    }

    /**
     * Returns the row of a pool.
     *
     * @param pool  the name of the pool, not null
     * @return the row, {@link PoolGrant#NONE} if none is stored, not null
     */
    public PoolGrant row(String pool) {
        return pools.getOrDefault(pool, PoolGrant.NONE);
    }

    /**
     * Returns the sum of the grants of all pools but one.
     *
     * @param pool  the name of the pool that is left out, not null
     * @return the sum, not null
     */
    public ResourceAmount grantedExcept(String pool) {
        ResourceAmount sum = ResourceAmount.NONE;
        for (Map.Entry<String, PoolGrant> entry : pools.entrySet()) {
            sum = entry.getKey().equals(pool) ? sum : sum.plus(entry.getValue().granted());
        }
        return sum;
    }

    /**
     * Returns these grants with another row for a pool. A row without amounts is removed.
     *
     * @param pool  the name of the pool, not null
     * @param row  the row, not null
     * @param newRevision  the revision of the key with that row
     * @return the changed copy, not null
     */
    public TeamGrants with(String pool, PoolGrant row, long newRevision) {
        Map<String, PoolGrant> changed = new TreeMap<>(pools);
        if (row.isEmpty()) {
            changed.remove(pool);
        } else {
            changed.put(pool, row);
        }
        return new TeamGrants(newRevision, changed);
    }
}
