package org.trefoilpost.decision.job;

/**
 * Which orders the owner of a pool may give.
 */
public enum OrderPermission {
    /** No orders, as another entry may own the pool by now. */
    NONE,
    /** All orders but starts, as workers may have less capacity by now than this entry knows. */
    NO_STARTS,
    /** All orders. */
    ALL;

    /**
     * Returns the permission that follows from what the store has confirmed.
     *
     * @param ownerConfirmed  true if the entry owned the pool so recently that it may give orders
     * @param capacitiesKnown  true if the workers' capacities are known well enough to start tasks
     * @return the permission, not null
     */
    public static OrderPermission of(boolean ownerConfirmed, boolean capacitiesKnown) {
        if (!ownerConfirmed) {
            return NONE;
        }
        return capacitiesKnown ? ALL : NO_STARTS;
    }

    /**
     * Returns whether any orders may be given.
     *
     * @return true unless this is {@link #NONE}
     */
    public boolean allowsOrders() {
        return this != NONE;
    }

    /**
     * Returns whether tasks may be started.
     *
     * @return true if all orders may be given
     */
    public boolean allowsStarts() {
        return this == ALL;
    }
}
