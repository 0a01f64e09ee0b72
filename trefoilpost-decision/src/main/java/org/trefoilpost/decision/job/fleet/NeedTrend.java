package org.trefoilpost.decision.job.fleet;

import org.trefoilpost.decision.job.PoolDemand;

/**
 * Follows how many machines a pool needs, and where that leads.
 */
final class NeedTrend {
    /** The weight of the newest need against the earlier ones. */
    private static final double SMOOTHING = 0.5;
    /** The weight of the newest growth against the earlier ones. */
    private static final double GROWTH_SMOOTHING = 0.25;
    /** How many answers ahead the need is expected: as many as come while a machine moves. */
    private static final double ANSWERS_AHEAD = 10;
    /** The most machines that growth adds to a small need. */
    static final double MOST_AHEAD = 5;
    /** The most that growth adds to a large need, in shares of it. */
    private static final double MOST_AHEAD_SHARE = 0.4;

    private PoolDemand last;
    private double need;
    private double growth;

    /**
     * Takes in a pool's load, once.
     */
    void add(PoolDemand load) {
        if (load == last) {
            return;
        }
        double before = need;
        need = last == null ? load.neededMachines() : need + (load.neededMachines() - need) * SMOOTHING;
        growth = last == null ? 0 : growth + (need - before - growth) * GROWTH_SMOOTHING;
        last = load;
    }

    double expected() {
        double most = Math.max(MOST_AHEAD, need * MOST_AHEAD_SHARE);
        return need + Math.max(0, Math.min(most, growth * ANSWERS_AHEAD));
    }
}
