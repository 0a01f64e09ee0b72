package org.trefoilpost.decision.job.team;

import org.trefoilpost.decision.job.ResourceAmount;

/**
 * Decides how much of a team's limit a pool asks for and returns, and whether a start is within its grant.
 *
 * <p>The sum of all grants never rises above the team's limit, so that no pool needs to know what another one runs.
 */
final class GrantPolicy {
    private GrantPolicy() {}

    /**
     * Returns whether a unit may start.
     *
     * @param grant  the amount that the pool is certain to hold
     * @param unit  what the start would use
     */
    static boolean mayStart(GrantView view, ResourceAmount grant, ResourceAmount unit) {
        ResourceAmount useAfter = view.limited(view.use().plus(unit));
        if (!useAfter.fitsIn(view.limited(grant)) || view.yieldsToAnother()) {
            return false;
        }
        if (view.isOvercommitted()) {
            return isAlone(view) && !view.limited(unit).fitsIn(view.limit());
        }
        // Below its entitlement a pool may start one more unit, so that shares smaller than a task do not stop all
        // pools.
        return !view.othersWish() || Amounts.isBelow(view.limited(view.use()), view.entitlement(), view.limited(unit));
    }

    /**
     * Returns whether the team has nothing running in this pool and no grant in any other.
     */
    static boolean isAlone(GrantView view) {
        return Amounts.isNone(view.limited(view.use())) && Amounts.isNone(view.limited(view.othersGranted()));
    }

    /**
     * Returns the row that the pool should have.
     *
     * @param token  the fencing token of the pool's claim
     * @param mayRaise  true if the grant may rise above what the pool uses
     */
    static PoolGrant decide(GrantView view, long token, boolean mayRaise) {
        ResourceAmount granted;
        boolean claims = false;
        if (view.isOvercommitted() || view.yieldsToAnother()) {
            granted = view.use();
        } else if (!mayRaise) {
            granted = Amounts.max(view.use(), Amounts.min(view.own().granted(), lowerBound(view)));
        } else if (view.waiting().claimant().isPresent()) {
            ResourceAmount unit = view.waiting().claimant().get();
            boolean available = isAvailable(view, unit);
            granted = available ? view.use().plus(unit) : view.use();
            claims = !available;
        } else {
            granted = ordinaryGrant(view);
        }
        ResourceAmount wish = wish(view, granted, claims);
        return new PoolGrant(token, granted, wish, claims);
    }

    private static boolean isAvailable(GrantView view, ResourceAmount unit) {
        return unit.fitsIn(view.limit())
                ? view.limited(view.use().plus(unit).plus(view.othersGranted())).fitsIn(view.limit())
                : isAlone(view);
    }

    private static ResourceAmount wish(GrantView view, ResourceAmount granted, boolean claims) {
        ResourceAmount needed =
                claims ? view.use().plus(view.waiting().claimant().orElseThrow()) : view.need();
        return view.limited(Amounts.excess(needed, granted));
    }

    private static ResourceAmount ordinaryGrant(GrantView view) {
        ResourceAmount kept = Amounts.max(view.use(), Amounts.min(view.own().granted(), lowerBound(view)));
        if (view.waiting().isNone()) {
            return kept;
        }
        ResourceAmount room = Amounts.excess(view.limit(), view.othersGranted());
        ResourceAmount ceiling = room;
        if (view.othersWish()) {
            ceiling = Amounts.min(room, Amounts.max(kept, shareInUnits(view)));
        }
        ResourceAmount raised = Amounts.max(kept, Amounts.min(requested(view, room), ceiling));
        boolean useful =
                view.limited(view.use().plus(view.waiting().smallest())).fitsIn(view.limited(raised));
        // A part in which no unit fits is left to the other pools; if each pool held such a part, none could start.
        return useful ? raised : view.othersWish() ? view.use() : kept;
    }

    /**
     * Returns what a pool asks for that lacks room for waiting work: more than it needs now, if much of the limit is left, so
     * that a growing demand does not need a write for each task.
     */
    private static ResourceAmount requested(GrantView view, ResourceAmount room) {
        ResourceAmount equalPart = view.limited(Amounts.dividedBy(view.limit(), view.pools()));
        ResourceAmount halfOfRest = Amounts.dividedBy(Amounts.excess(room, view.need()), 2);
        ResourceAmount reserve = Amounts.min(equalPart, halfOfRest);
        return Amounts.max(view.need().plus(reserve), equalPart);
    }

    /**
     * Returns the entitlement, rounded up to a unit if the pool is below it.
     */
    private static ResourceAmount shareInUnits(GrantView view) {
        ResourceAmount entitlement = view.entitlement();
        ResourceAmount unit = view.waiting().smallest();
        return Amounts.isBelow(view.limited(view.use()), entitlement, view.limited(unit))
                ? Amounts.max(entitlement, view.use().plus(unit))
                : entitlement;
    }

    /**
     * Returns the amount down to which the pool returns its grant, besides its use.
     */
    private static ResourceAmount lowerBound(GrantView view) {
        ResourceAmount needed = Amounts.max(view.peak(), view.need());
        if (view.othersWish()) {
            return Amounts.isNone(view.limited(view.need()))
                    ? ResourceAmount.NONE
                    : Amounts.min(needed, shareInUnits(view));
        }
        // An equal part is kept while the pool has any work, as it would be asked for again with the next task.
        ResourceAmount equalPart = view.limited(Amounts.dividedBy(view.limit(), view.pools()));
        return Amounts.isNone(needed) ? ResourceAmount.NONE : Amounts.max(needed, equalPart);
    }
}
