package org.trefoilpost.decision.job;

/**
 * Decides how long a request waits for an owner of its pool.
 *
 * <p>Answers the loss of owners. While the store can be reached, another entry claims the pool within about a second, so that
 * a request that waits is served sooner than one that is sent again. Otherwise no entry can claim it before the store returns.
 */
public final class OwnerWait {
    /** The time from the end of a claim until the next owner serves requests, with a margin. */
    private static final long TAKEOVER_MILLIS = 1_200;
    /** Time in which the store may turn out to be reachable through another entry. */
    private static final long WITHOUT_STORE_MILLIS = 200;

    private OwnerWait() {}

    /**
     * Returns how long a request may wait that has reached no owner.
     *
     * @param storeServed  whether the store can be reached
     * @return the time since the request arrived, in milliseconds
     */
    public static long maxMillis(boolean storeServed) {
        return storeServed ? TAKEOVER_MILLIS : WITHOUT_STORE_MILLIS;
    }
}
