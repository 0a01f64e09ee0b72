package org.trefoilpost.decision.ledger;

import java.util.Locale;

/**
 * Why a ledger refuses a planned stop.
 */
public enum LedgerRefusal {
    /** Too few usable workers would remain above the floor and the reserve. */
    BUDGET,
    /** The view of the pool is older than a departure that the ledger knows of. */
    STALE_VIEW,
    /** The worker isn't a member of the pool. */
    NOT_A_MEMBER,
    /** Another plan has a planned stop of the worker under way. */
    HELD_BY_ANOTHER_PLAN,
    /** A newer epoch of the same stop has been admitted. */
    OLD_EPOCH;

    /**
     * Returns the code of this reason in documents and counters, such as {@code stale-view}.
     *
     * @return the code, not null
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
