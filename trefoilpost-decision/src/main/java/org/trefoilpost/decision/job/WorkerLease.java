package org.trefoilpost.decision.job;

/**
 * The lease of the runs on one incarnation of a worker. It ends on the worker's own clock, which this follows by the times that
 * the worker's answers show.
 */
final class WorkerLease {
    /** The minimum rate of a worker's clock relative to true time: clocks may lag by 2 %, the rest is a margin. */
    static final double MIN_CLOCK_RATE = 0.975;

    /** By how much a clock in whole milliseconds may seem to go back. */
    private static final long CLOCK_ROUNDING_MILLIS = 1;

    /** Time that a worker may take to end its runs after its lease has expired. */
    private static final long END_MARGIN_MILLIS = 250;

    /** By how much a lease may be longer because its owner had last seen the worker's clock some time before. */
    private static final long FOREIGN_CLOCK_MARGIN_MILLIS = 500;

    private long clockMillis;
    private long clockSeenMillis = Long.MIN_VALUE;
    private long untilMillis = Long.MIN_VALUE;
    /** Until when leases that earlier owners granted may go on if they may still grant some. */
    private long foreignUntilMillis = Long.MIN_VALUE;
    /** Until when leases that earlier owners granted may go on if the worker takes no more orders of theirs. */
    private long fencedUntilMillis = Long.MAX_VALUE;
    /** The latest end that was sent, on the worker's clock. */
    private long sentEnd;
    /** The latest end that was sent to previous incarnations and may still arrive. */
    private long formerEnd;
    /** Until when leases may go on that orders sent to previous incarnations extend. */
    private long formerOrdersEndMillis;

    /**
     * Assumes the lease of a previous incarnation, whose runs may go on, for the present one.
     */
    void assume(WorkerLease former) {
        untilMillis = former.untilMillis;
        foreignUntilMillis = former.foreignUntilMillis;
    }

    /**
     * Assumes that orders which were sent to a previous incarnation may still arrive.
     *
     * @param ordersUntilMillis  until when they may arrive
     * @param maxLeaseMillis  the longest lease that the worker accepts
     */
    void assumeLateOrders(WorkerLease former, long ordersUntilMillis, long maxLeaseMillis) {
        formerEnd = Math.max(former.sentEnd, former.formerEnd);
        formerOrdersEndMillis = ordersUntilMillis + (long) (maxLeaseMillis / MIN_CLOCK_RATE);
    }

    /**
     * Returns whether a time on the worker's clock is earlier than one that it showed before, beyond rounding.
     */
    boolean showsEarlierClock(long workerMillis) {
        return isClockKnown() && workerMillis < clockMillis - CLOCK_ROUNDING_MILLIS;
    }

    /**
     * Records the time that the worker's own clock showed in an answer.
     */
    void recordClock(long workerMillis, long nowMillis) {
        if (formerEnd > workerMillis) {
            // The lease that a late order names is far off on a clock that began again.
            long remaining = (long) ((formerEnd - workerMillis) / MIN_CLOCK_RATE);
            extendUntil(Math.min(nowMillis + remaining, formerOrdersEndMillis) + END_MARGIN_MILLIS);
        }
        clockMillis = workerMillis;
        clockSeenMillis = nowMillis;
    }

    boolean isClockKnown() {
        return clockSeenMillis != Long.MIN_VALUE;
    }

    /**
     * Returns the time since the worker's clock was last seen, in milliseconds.
     */
    long clockAgeMillis(long nowMillis) {
        return nowMillis - clockSeenMillis;
    }

    /**
     * Grants a lease and records its latest expiry.
     *
     * @return the end of the lease on the worker's clock, 0 if that clock is not known
     */
    long grant(long nowMillis, long leaseMillis) {
        if (!isClockKnown()) {
            return 0;
        }
        long remaining = nowMillis - clockSeenMillis + leaseMillis;
        extendUntil(clockSeenMillis + (long) (remaining / MIN_CLOCK_RATE) + END_MARGIN_MILLIS);
        sentEnd = Math.max(sentEnd, clockMillis + remaining);
        return clockMillis + remaining;
    }

    private void extendUntil(long millis) {
        untilMillis = Math.max(untilMillis, millis);
    }

    /**
     * Records that the worker's runs may continue until a time on the steady clock by leases that earlier owners granted, or may
     * still grant.
     */
    void assumeUntil(long millis) {
        foreignUntilMillis = Math.max(foreignUntilMillis, millis);
    }

    /**
     * Records that this incarnation of the worker has answered the present owner, so that it takes no more orders of earlier ones.
     *
     * @param leaseMillis  the longest lease that an owner grants
     */
    void fence(long nowMillis, long leaseMillis) {
        long remaining = (long) (leaseMillis / MIN_CLOCK_RATE) + FOREIGN_CLOCK_MARGIN_MILLIS;
        fencedUntilMillis = Math.min(fencedUntilMillis, nowMillis + remaining + END_MARGIN_MILLIS);
    }

    /**
     * Returns the time on the steady clock after which every lease granted to the worker is certain to have expired.
     */
    long expiryMillis() {
        return Math.max(untilMillis, Math.min(foreignUntilMillis, fencedUntilMillis));
    }
}
