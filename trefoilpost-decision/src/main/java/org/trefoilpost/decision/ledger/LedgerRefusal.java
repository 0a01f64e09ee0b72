package org.trefoilpost.decision.ledger;

import java.util.Locale;

/**
 * The reason why a ledger refuses a planned stop.
 */
public enum LedgerRefusal {
    /** The available workers would no longer cover the floor and the reserve. */
    BUDGET,
    /** The view of the pool is older than a worker's departure that the ledger has recorded. */
    STALE_VIEW,
    /** The worker isn't a member of the pool. */
    NOT_A_MEMBER,
    /** Another plan, or another step of the same plan, has a planned stop of the worker in progress. */
    HELD_BY_ANOTHER_PLAN,
    /** A later attempt of the same step has been admitted. */
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
