package org.trefoilpost.decision.job.fleet;

import org.trefoilpost.decision.job.PoolDemand;

/**
 * Follows how many machines a pool needs, and where that leads.
 */
final class DemandForecast {
    /** The weight of the newest need against the earlier ones. */
    private static final double NEED_SMOOTHING = 0.5;
    /** The weight of the newest growth against the earlier ones. */
    private static final double GROWTH_SMOOTHING = 0.25;
    /** How many answers ahead the need is expected: as many as come while a machine moves. */
    private static final double REPORTS_AHEAD = 10;
    /** The most machines that growth adds to a small need. */
    static final double MAX_GROWTH_MACHINES = 5;
    /** The most that growth adds to a large need, in shares of it. */
    private static final double MAX_GROWTH_SHARE = 0.4;

    private PoolDemand lastDemand;
    private double smoothedNeed;
    private double growthPerReport;

    /**
     * Takes in a pool's load, once.
     */
    void add(PoolDemand load) {
        if (load == lastDemand) {
            return;
        }
        double before = smoothedNeed;
        smoothedNeed = lastDemand == null
                ? load.neededMachines()
                : smoothedNeed + (load.neededMachines() - smoothedNeed) * NEED_SMOOTHING;
        growthPerReport =
                lastDemand == null ? 0 : growthPerReport + (smoothedNeed - before - growthPerReport) * GROWTH_SMOOTHING;
        lastDemand = load;
    }

    double expectedMachines() {
        double most = Math.max(MAX_GROWTH_MACHINES, smoothedNeed * MAX_GROWTH_SHARE);
        return smoothedNeed + Math.max(0, Math.min(most, growthPerReport * REPORTS_AHEAD));
    }
}
