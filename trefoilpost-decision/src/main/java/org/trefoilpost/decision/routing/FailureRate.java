package org.trefoilpost.decision.routing;

/**
 * The failure rate of recent attempts, in which the weight of an attempt decays exponentially with its age.
 */
final class FailureRate {
    /** Answers assumed in addition to the recorded attempts, so that a few failures do not yield a high rate. */
    private static final double ASSUMED_ANSWERS = 2;

    private final long halfLifeMillis;
    private double attempts;
    private double failures;
    private long updatedMillis;

    FailureRate(long halfLifeMillis) {
        this.halfLifeMillis = halfLifeMillis;
    }

    void record(boolean failed, long nowMillis) {
        decay(nowMillis);
        attempts += 1;
        failures += failed ? 1 : 0;
    }

    void reset() {
        attempts = 0;
        failures = 0;
    }

    double failures(long nowMillis) {
        decay(nowMillis);
        return failures;
    }

    /** Returns the failure rate, which is 0 for a worker without attempts. */
    double rate() {
        return failures / (attempts + ASSUMED_ANSWERS);
    }

    private void decay(long nowMillis) {
        long elapsed = nowMillis - updatedMillis;
        if (elapsed <= 0) {
            return;
        }
        double factor = Math.pow(0.5, (double) elapsed / halfLifeMillis);
        attempts *= factor;
        failures *= factor;
        updatedMillis = nowMillis;
    }
}
