package org.trefoilpost.decision.routing;

/**
 * The share of failures among the recent attempts, where older attempts count less.
 */
final class FailureRate {
    /** The answers assumed beside the attempts, so that a few failures do not make a high rate. */
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

    /** Returns the rate; a worker without recent attempts has failed nothing. */
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
