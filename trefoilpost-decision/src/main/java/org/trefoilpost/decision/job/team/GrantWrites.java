package org.trefoilpost.decision.job.team;

import java.util.Objects;
import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.decision.job.ResourceAmount;

/**
 * Makes the writes of a pool's grants when they are due, and logs what they change.
 */
final class GrantWrites {
    /** Time between two writes of a team that can wait, so that the ends of several runs are returned together. */
    private static final long INTERVAL_MILLIS = 200;

    /** Time between two returns of a team that other pools wait for, if the rate of writes is exhausted. */
    private static final long AWAITED_INTERVAL_MILLIS = 1_000;

    /** Time after which a call that failed is made again. */
    private static final long RETRY_MILLIS = 250;

    private static final long CONFLICT_DELAY_MILLIS = 10;

    /** The mean is half of it: if all of some 300 pools wrote one key, they would make about 1,000 writes a second. */
    private static final long MAX_CONFLICT_DELAY_MILLIS = 640;

    private static final long LIMIT_LOG_INTERVAL_MILLIS = 1_000;

    /** The part of an equal share of the limit that is returned without a request of another pool. */
    private static final int MIN_RETURNED_PART = 4;

    private final String pool;
    private final TeamGrantWriter writer;
    private final WriteBudget budget = new WriteBudget();

    GrantWrites(String pool, TeamGrantWriter writer) {
        this.pool = pool;
        this.writer = writer;
    }

    /**
     * Reads a team's key.
     */
    void read(TeamLedger ledger) {
        ledger.callInFlight = true;
        writer.read(ledger.team);
    }

    /**
     * Removes the pool's row of a team that is no longer limited.
     */
    void removeRow(TeamLedger ledger, long nowMillis) {
        if (!ledger.grants.row(pool).isEmpty() && nowMillis >= ledger.nextWriteMillis && budget.allows(nowMillis)) {
            write(ledger, PoolGrant.NONE, nowMillis);
        }
    }

    /**
     * Writes the row that a pool should have, if that changes it and the write may be made now.
     */
    void writeIfDue(TeamLedger ledger, GrantView view, PoolGrant row, long nowMillis) {
        PoolGrant stored = view.own();
        ResourceAmount granted = view.limited(row.granted());
        boolean raised = !granted.fitsIn(view.limited(stored.granted()));
        boolean urgent = raised && Amounts.isNone(row.wish());
        boolean due =
                ledger.writeUnresolved || raised || isReturnDue(view, granted) || isWishChanged(view, stored, row);
        boolean allowed = nowMillis >= ledger.nextWriteMillis
                && (urgent || nowMillis >= ledger.nextMinorWriteMillis && budget.allows(nowMillis));
        if (due && allowed) {
            write(ledger, row, nowMillis);
            log(ledger, stored, row, raised);
        }
    }

    private static boolean isReturnDue(GrantView view, ResourceAmount granted) {
        ResourceAmount returned = Amounts.excess(view.limited(view.own().granted()), granted);
        if (Amounts.isNone(returned)) {
            return false;
        }
        ResourceAmount equalPart = Amounts.dividedBy(view.limit(), view.pools());
        boolean large = !returned.fitsIn(Amounts.dividedBy(equalPart, MIN_RETURNED_PART));
        // A pool with waiting work soon uses a small rest itself.
        return large
                || Amounts.isNone(granted)
                || isAwaited(view) && view.waiting().isNone()
                || mustReturn(view);
    }

    private static boolean mustReturn(GrantView view) {
        return view.isOvercommitted() || view.yieldsToAnother();
    }

    private static boolean isAwaited(GrantView view) {
        return view.othersWish() || mustReturn(view);
    }

    /**
     * Returns whether a request appears, ends or changes to more than the double or less than the half.
     */
    private static boolean isWishChanged(GrantView view, PoolGrant stored, PoolGrant row) {
        ResourceAmount before = view.limited(stored.wish());
        ResourceAmount after = view.limited(row.wish());
        return stored.exclusive() != row.exclusive()
                || Amounts.isNone(before) != Amounts.isNone(after)
                || !after.fitsIn(before.times(2))
                || !before.fitsIn(after.times(2));
    }

    private void write(TeamLedger ledger, PoolGrant row, long nowMillis) {
        budget.spend();
        ledger.writeSent(row);
        ledger.nextMinorWriteMillis = nowMillis + INTERVAL_MILLIS;
        ledger.nextAwaitedWriteMillis = nowMillis + AWAITED_INTERVAL_MILLIS;
        writer.write(ledger.team, ledger.grants.with(pool, row, ledger.grants.revision()));
    }

    void stored(TeamLedger ledger, long revision, long nowMillis) {
        ledger.conflicts = 0;
        ledger.writeStored(pool, revision, nowMillis);
    }

    void refused(TeamLedger ledger, String reason, boolean keyChanged, long nowMillis) {
        ledger.callInFlight = false;
        if (keyChanged) {
            ledger.conflicts++;
            ledger.nextWriteMillis = nowMillis + conflictDelayMillis(ledger);
            ledger.nextMinorWriteMillis = nowMillis;
            ledger.nextAwaitedWriteMillis = nowMillis;
        } else {
            ledger.nextWriteMillis = nowMillis + RETRY_MILLIS;
        }
        writer.logDecision(decision("grant-refused", ledger).with("reason", reason));
    }

    /**
     * Returns the time until a write is made again that another pool's write preceded: none at first, then longer each time and
     * different for each pool, as all pools that write the key at the same time conflict but one.
     */
    private long conflictDelayMillis(TeamLedger ledger) {
        if (ledger.conflicts <= 1) {
            return 0;
        }
        long delayMillis = Math.min(MAX_CONFLICT_DELAY_MILLIS, CONFLICT_DELAY_MILLIS << Math.min(6, ledger.conflicts));
        return Math.floorMod(Objects.hash(pool, ledger.team, ledger.conflicts), delayMillis);
    }

    private void log(TeamLedger ledger, PoolGrant stored, PoolGrant row, boolean raised) {
        if (!row.granted().equals(stored.granted())) {
            writer.logDecision(decision(raised ? "grant-raised" : "grant-returned", ledger)
                    .with("grant", Amounts.text(row.granted()))
                    .with("formerGrant", Amounts.text(stored.granted())));
        }
        if (!Amounts.isNone(row.wish())) {
            writer.logDecision(decision("grant-wish", ledger)
                    .with("grant", Amounts.text(row.granted()))
                    .with("wish", Amounts.text(row.wish()))
                    .with("exclusive", row.exclusive()));
        }
    }

    void logLimitReached(TeamLedger ledger, ResourceAmount unit, String reason, long nowMillis) {
        if (nowMillis - ledger.limitLoggedMillis >= LIMIT_LOG_INTERVAL_MILLIS) {
            ledger.limitLoggedMillis = nowMillis;
            writer.logDecision(decision("team-limit-reached", ledger)
                    .with("reason", reason)
                    .with("unit", Amounts.text(unit))
                    .with("grant", Amounts.text(ledger.certainGrant)));
        }
    }

    void logUnreadable(TeamLedger ledger, StoredGrants stored, IllegalArgumentException failure) {
        writer.logDecision(Decision.failure("team-key-unreadable")
                .with("team", ledger.team)
                .with("pool", pool)
                .with("revision", stored.revision())
                .with("bytes", stored.value().length)
                .with("failure", String.valueOf(failure.getMessage())));
    }

    private Decision decision(String name, TeamLedger ledger) {
        ResourceAmount cap = ledger.limit == null ? ResourceAmount.NONE : Amounts.limited(ledger.limit, ledger.limit);
        return Decision.of(name)
                .with("team", ledger.team)
                .with("pool", pool)
                .with("use", Amounts.text(ledger.use()))
                .with("cap", Amounts.text(cap))
                .with("version", ledger.grants.revision());
    }
}
