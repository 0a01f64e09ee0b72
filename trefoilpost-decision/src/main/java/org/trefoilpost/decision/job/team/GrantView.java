package org.trefoilpost.decision.job.team;

import org.trefoilpost.decision.job.ResourceAmount;

/**
 * What a pool knows about a team when it decides about its grant and its starts.
 *
 * @param pool  the name of the pool
 * @param limit  the team's limit, very large in components that are not limited
 * @param pools  the number of pools that run jobs, positive
 * @param grants  the stored grants
 * @param use  what the pool runs or may run for the team
 * @param peak  the maximum of the use in the last seconds
 * @param waiting  the work that waits for the team's limit
 */
record GrantView(
        String pool,
        ResourceAmount limit,
        int pools,
        TeamGrants grants,
        ResourceAmount use,
        ResourceAmount peak,
        WaitingWork waiting) {
    PoolGrant own() {
        return grants.row(pool);
    }

    ResourceAmount othersGranted() {
        return grants.grantedExcept(pool);
    }

    /**
     * Returns what the pool would use if nothing limited it but the team's limit.
     */
    ResourceAmount need() {
        return Amounts.max(use, Amounts.min(limit, use.plus(waiting.amount())));
    }

    /**
     * Returns the part of an amount that the team's limit limits.
     */
    ResourceAmount limited(ResourceAmount amount) {
        return Amounts.limited(amount, limit);
    }

    /**
     * Returns whether the sum of the grants exceeds the limit, as after a reduction of the cap.
     */
    boolean isOvercommitted() {
        return !othersGranted().plus(own().granted()).fitsIn(limit);
    }

    boolean othersWish() {
        return grants.pools().entrySet().stream()
                .anyMatch(row -> !row.getKey().equals(pool)
                        && !Amounts.isNone(limited(row.getValue().wish())));
    }

    /**
     * Returns whether another pool has asked this one to wait. Of several that ask, the first by name goes first.
     */
    boolean yieldsToAnother() {
        return grants.pools().entrySet().stream()
                .anyMatch(row -> row.getValue().exclusive()
                        && !row.getKey().equals(pool)
                        && (!own().exclusive() || row.getKey().compareTo(pool) < 0));
    }

    /**
     * Returns the pool's share of the limit: in proportion to the use and unmet requests of the pools, but at least an equal
     * part for each pool with any demand.
     */
    ResourceAmount entitlement() {
        ResourceAmount need = limited(need());
        if (Amounts.isNone(need)) {
            return ResourceAmount.NONE;
        }
        ResourceAmount sum = need;
        int demanding = 1;
        for (var row : grants.pools().entrySet()) {
            ResourceAmount demand =
                    limited(row.getValue().granted().plus(row.getValue().wish()));
            if (!row.getKey().equals(pool) && !Amounts.isNone(demand)) {
                sum = sum.plus(Amounts.min(demand, limit));
                demanding++;
            }
        }
        return Amounts.max(Amounts.share(limit, need, sum), Amounts.dividedBy(limit, demanding));
    }
}
