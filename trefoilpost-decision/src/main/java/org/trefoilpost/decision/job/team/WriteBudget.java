package org.trefoilpost.decision.job.team;

/**
 * Limits the rate of a pool's writes that can wait.
 */
final class WriteBudget {
    /** The mean number of writes per second of a pool, for all teams together. */
    private static final double WRITES_PER_SECOND = 4;

    /** Writes that may be made at once: the moves of twenty teams through a demand peak of 5 s. */
    private static final double MAX_BURST = 120;

    private static final double MILLIS_PER_SECOND = 1_000;

    private double available = MAX_BURST;
    private long updatedMillis = Long.MIN_VALUE;

    /**
     * Returns whether a write that can wait may be made now.
     */
    boolean allows(long nowMillis) {
        if (updatedMillis != Long.MIN_VALUE) {
            available += (nowMillis - updatedMillis) * WRITES_PER_SECOND / MILLIS_PER_SECOND;
            available = Math.min(MAX_BURST, available);
        }
        updatedMillis = nowMillis;
        return available >= 1;
    }

    /**
     * Counts a write. Those that cannot wait may exceed the rate; later ones then wait longer.
     */
    void spend() {
        available = Math.max(-MAX_BURST, available - 1);
    }
}
