package org.trefoilpost.decision.job.fleet;

import org.trefoilpost.decision.job.PoolDemand;

/**
 * Forecasts the number of machines that a pool needs, by exponential smoothing of the need and of its growth.
 */
final class DemandForecast {
    /** The weight of the latest need against the earlier ones. */
    private static final double NEED_SMOOTHING = 0.5;
    /** The weight of the latest growth against the earlier ones. */
    private static final double GROWTH_SMOOTHING = 0.25;
    /** Forecast horizon in demand reports: as many as arrive during the move of a machine. */
    private static final double REPORTS_AHEAD = 10;
    /** The maximum number of machines that growth adds to a small need. */
    static final double MAX_GROWTH_MACHINES = 5;
    /** The maximum that growth adds to a large need, as a share of that need. */
    private static final double MAX_GROWTH_SHARE = 0.4;

    private PoolDemand lastDemand;
    private double smoothedNeed;
    private double growthPerReport;

    /**
     * Adds a reported demand; the same object counts only once.
     */
    void add(PoolDemand demand) {
        if (demand == lastDemand) {
            return;
        }
        double previousNeed = smoothedNeed;
        smoothedNeed = lastDemand == null
                ? demand.neededMachines()
                : smoothedNeed + (demand.neededMachines() - smoothedNeed) * NEED_SMOOTHING;
        growthPerReport = lastDemand == null
                ? 0
                : growthPerReport + (smoothedNeed - previousNeed - growthPerReport) * GROWTH_SMOOTHING;
        lastDemand = demand;
    }

    /**
     * Returns the forecast need in machines; growth is extrapolated up to a limit, decline is not.
     */
    double expectedMachines() {
        double maxGrowth = Math.max(MAX_GROWTH_MACHINES, smoothedNeed * MAX_GROWTH_SHARE);
        return smoothedNeed + Math.max(0, Math.min(maxGrowth, growthPerReport * REPORTS_AHEAD));
    }
}
