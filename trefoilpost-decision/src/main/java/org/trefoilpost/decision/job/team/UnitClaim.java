package org.trefoilpost.decision.job.team;

import java.util.Optional;
import org.trefoilpost.decision.job.ResourceAmount;

/**
 * Decides when a pool asks the other pools to wait for a unit that does not fit into its share of a team's limit.
 *
 * <p>Such a claim stops the team's starts in all pools, so it is given up after a while, and is not repeated at once.
 */
final class UnitClaim {
    /** Time for which a unit within the limit waits for the return of grants before it is claimed. */
    static final long MIN_WAIT_MILLIS = 2_000;

    /** Time in which runs of usual length end. Longer stops would delay the jobs of other pools by seconds. */
    private static final long MAX_CLAIM_MILLIS = 1_800;

    private static final long PAUSE_MILLIS = 4_000;

    private ResourceAmount unit = ResourceAmount.NONE;
    private long waitingSinceMillis;
    private long claimedSinceMillis = Long.MIN_VALUE;
    private long pausedUntilMillis = Long.MIN_VALUE;

    /**
     * Updates the claim, and returns the unit that is claimed now.
     *
     * @param oldest  the first unit that waited in this round, empty if none did
     */
    Optional<ResourceAmount> update(Optional<ResourceAmount> oldest, GrantView view, long nowMillis) {
        if (oldest.isEmpty()) {
            if (claimedSinceMillis != Long.MIN_VALUE) {
                end(nowMillis);
            }
            unit = ResourceAmount.NONE;
            return Optional.empty();
        }
        if (!oldest.get().equals(unit)) {
            unit = oldest.get();
            waitingSinceMillis = nowMillis;
        }
        if (claimedSinceMillis == Long.MIN_VALUE && isDue(view, nowMillis)) {
            claimedSinceMillis = nowMillis;
        } else if (claimedSinceMillis != Long.MIN_VALUE && nowMillis - claimedSinceMillis >= MAX_CLAIM_MILLIS) {
            end(nowMillis);
        }
        return claimedSinceMillis == Long.MIN_VALUE ? Optional.empty() : oldest;
    }

    private boolean isDue(GrantView view, long nowMillis) {
        if (nowMillis < pausedUntilMillis) {
            return false;
        }
        boolean belowShare = Amounts.isBelow(view.limited(view.use()), view.entitlement(), view.limited(unit));
        return !unit.fitsIn(view.limit()) || belowShare && nowMillis - waitingSinceMillis >= MIN_WAIT_MILLIS;
    }

    private void end(long nowMillis) {
        claimedSinceMillis = Long.MIN_VALUE;
        pausedUntilMillis = nowMillis + PAUSE_MILLIS;
    }
}
