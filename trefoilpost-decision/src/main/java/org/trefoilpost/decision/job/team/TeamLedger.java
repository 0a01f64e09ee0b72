package org.trefoilpost.decision.job.team;

import java.util.Optional;
import org.trefoilpost.decision.job.ResourceAmount;

/**
 * What a pool's owner knows about its grant for one team.
 *
 * <p>A lowered grant applies from the moment its write is sent. A raised one applies once its write is confirmed, or the key
 * is read with it. A row with the token of a later owner never raises the grant of this one.
 */
final class TeamLedger {
    final String team;
    /** Limit of the team, very large in components that are not limited; null while the team is not limited at all. */
    ResourceAmount limit;
    /** Time until which other pools may have use that is not in the stored grants yet. */
    long settledMillis = Long.MIN_VALUE;

    TeamGrants grants = TeamGrants.ABSENT;
    boolean unreadable;
    /** True if the key was unreadable when the pool was taken over, so that its former grant is not known yet. */
    boolean unreadSinceClaim;

    /** The amount that the pool is certain to hold. */
    ResourceAmount certainGrant = ResourceAmount.NONE;
    /** The grant that this owner found when it took over the pool. */
    ResourceAmount formerGrant = ResourceAmount.NONE;

    TeamUse known = TeamUse.NONE;
    ResourceAmount unseen = ResourceAmount.NONE;
    final RecentPeak recentUse = new RecentPeak();
    /** The work that the limit kept waiting in the last round of placements. */
    WaitingWork waiting = WaitingWork.NONE;
    /** The work that the limit has kept waiting so far in the present round. */
    WaitingWork refused = WaitingWork.NONE;

    final UnitClaim claim = new UnitClaim();
    /** The unit of this round that may be claimed, empty if none was refused. */
    Optional<ResourceAmount> firstRefused = Optional.empty();

    /** True while the answer to a write or a read is awaited. */
    boolean callInFlight;
    /** The number of conflicts since the last write that was stored. */
    int conflicts;
    /** True if a write without an answer may have taken effect, or may do so later. */
    boolean writeUnresolved;

    long nextWriteMillis = Long.MIN_VALUE;
    /** The time of the next write that can wait. */
    long nextMinorWriteMillis = Long.MIN_VALUE;
    /** The time of the next return that other pools wait for, if the rate of writes is exhausted. */
    long nextAwaitedWriteMillis = Long.MIN_VALUE;

    long limitLoggedMillis = Long.MIN_VALUE / 2;
    /** The revision that the last write expected. */
    long expectedRevision;

    private Optional<PoolGrant> attempted = Optional.empty();

    TeamLedger(String team) {
        this.team = team;
    }

    ResourceAmount use() {
        return known.total().plus(unseen);
    }

    GrantView view(String pool, int pools, ResourceAmount free, WaitingWork work) {
        WaitingWork placeable = work.isNone() ? work : work.within(free);
        return new GrantView(pool, limit, pools, grants, use(), recentUse.peak(), placeable);
    }

    void endRound() {
        waiting = refused.withClaimant(waiting.claimant());
    }

    /**
     * Applies the stored grants when the pool is taken over.
     */
    void takeOver(String pool, TeamGrants stored, long token) {
        unreadable = false;
        unreadSinceClaim = false;
        grants = stored;
        PoolGrant row = stored.row(pool);
        // A later owner has written the row if its token is higher; this one may then start nothing.
        formerGrant = row.granted();
        certainGrant = row.token() <= token ? row.granted() : ResourceAmount.NONE;
    }

    /**
     * Applies stored grants of a later revision, or of the same one after a write without effect.
     *
     * @param ownRow  true if no later owner has written the pool's row
     */
    void update(String pool, TeamGrants stored, boolean ownRow) {
        unreadable = false;
        unreadSinceClaim = false;
        if (stored.revision() != grants.revision()) {
            // Writes without an answer named the former revision and can no longer take effect.
            writeUnresolved = false;
        }
        grants = stored;
        ResourceAmount granted = stored.row(pool).granted();
        if (ownRow && !writeUnresolved) {
            certainGrant = granted;
        } else {
            certainGrant = Amounts.min(certainGrant, granted);
        }
    }

    /**
     * Handles that a row was sent.
     */
    void writeSent(PoolGrant row) {
        attempted = Optional.of(row);
        expectedRevision = grants.revision();
        callInFlight = true;
        certainGrant = Amounts.min(certainGrant, row.granted());
    }

    /**
     * Applies the confirmation of the write that is under way.
     */
    void writeStored(String pool, long revision, long nowMillis) {
        callInFlight = false;
        PoolGrant row = attempted.orElseThrow();
        // A new grant counts as used for the time after which unused ones are returned.
        recentUse.add(row.granted(), nowMillis);
        // The mirror may have shown the write, or a later one of another pool, before its answer came.
        if (revision > grants.revision()) {
            writeUnresolved = false;
            grants = grants.with(pool, row, revision);
            certainGrant = row.granted();
        }
    }
}
