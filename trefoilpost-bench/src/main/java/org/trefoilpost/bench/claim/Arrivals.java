package org.trefoilpost.bench.claim;

import java.util.Random;

/**
 * Times of independent requests at a mean rate.
 */
final class Arrivals {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final Random random;
    private final double meanGapMillis;
    private double nextMillis;

    Arrivals(long seed, double requestsPerSecond) {
        random = new Random(seed);
        meanGapMillis = MILLIS_PER_SECOND / requestsPerSecond;
    }

    /** Returns the time of the next request, in milliseconds from the start. */
    double next() {
        nextMillis -= meanGapMillis * Math.log(1 - random.nextDouble());
        return nextMillis;
    }
}
