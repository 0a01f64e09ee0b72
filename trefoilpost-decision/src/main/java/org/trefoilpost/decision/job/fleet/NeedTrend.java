package org.trefoilpost.decision.job.fleet;

import org.trefoilpost.decision.job.PoolLoad;

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
    /** The most machines that growth adds to the need. */
    static final double MOST_AHEAD = 5;

    private PoolLoad last;
    private double need;
    private double growth;

    /**
     * Takes in a pool's load, once.
     */
    void add(PoolLoad load) {
        if (load == last) {
            return;
        }
        double before = need;
        need = last == null ? load.neededMachines() : need + (load.neededMachines() - need) * SMOOTHING;
        growth = last == null ? 0 : growth + (need - before - growth) * GROWTH_SMOOTHING;
        last = load;
    }

    double expected() {
        return need + Math.max(0, Math.min(MOST_AHEAD, growth * ANSWERS_AHEAD));
    }
}
