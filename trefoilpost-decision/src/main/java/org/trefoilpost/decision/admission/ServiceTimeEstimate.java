package org.trefoilpost.decision.admission;

/**
 * The mean and the mean deviation of the recent service times of a pool.
 */
final class ServiceTimeEstimate {
    private static final double MEAN_WEIGHT = 0.05;
    private static final double DEVIATION_WEIGHT = 0.05;
    /** The mean deviations above the mean within which most requests are served. */
    private static final double UPPER_ESTIMATE_DEVIATIONS = 2;

    private double meanMillis;
    private double deviationMillis;

    ServiceTimeEstimate(long initialMillis) {
        this.meanMillis = initialMillis;
    }

    void record(long millis) {
        double error = millis - meanMillis;
        meanMillis += MEAN_WEIGHT * error;
        deviationMillis += DEVIATION_WEIGHT * (Math.abs(error) - deviationMillis);
    }

    double meanMillis() {
        return Math.max(1, meanMillis);
    }

    /** Returns the time within which most requests are served. */
    long upperEstimateMillis() {
        return Math.round(meanMillis() + UPPER_ESTIMATE_DEVIATIONS * deviationMillis);
    }
}
