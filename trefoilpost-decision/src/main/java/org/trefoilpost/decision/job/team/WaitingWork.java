package org.trefoilpost.decision.job.team;

import java.util.Optional;
import org.trefoilpost.decision.job.ResourceAmount;

/**
 * The work of a team that would start in a pool if the team's limit allowed it. A unit is what has to start at once: a task
 * or a whole gang.
 *
 * @param amount  the demand of all units, not null
 * @param smallest  the smallest unit, not null
 * @param claimant  a unit for which the other pools are to be asked to wait, empty if there is none, not null
 */
record WaitingWork(ResourceAmount amount, ResourceAmount smallest, Optional<ResourceAmount> claimant) {
    static final WaitingWork NONE = new WaitingWork(ResourceAmount.NONE, ResourceAmount.NONE, Optional.empty());

    boolean isNone() {
        return Amounts.isNone(amount);
    }

    WaitingWork plus(ResourceAmount unit, long count) {
        ResourceAmount sum = amount.plus(unit.times(count));
        boolean smaller = isNone() || unit.fitsIn(smallest);
        return new WaitingWork(sum, smaller ? unit : smallest, claimant);
    }

    WaitingWork withClaimant(Optional<ResourceAmount> unit) {
        return new WaitingWork(amount, smallest, unit);
    }

    /**
     * Returns this work, as far as a pool has room for it, but at least one unit.
     */
    WaitingWork within(ResourceAmount free) {
        return new WaitingWork(Amounts.max(smallest, Amounts.min(amount, free)), smallest, claimant);
    }
}
