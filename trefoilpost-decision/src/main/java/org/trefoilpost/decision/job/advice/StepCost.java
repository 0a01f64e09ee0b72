package org.trefoilpost.decision.job.advice;

/**
 * How long the service takes for a step until a worker is found on which it is allowed, as observed lately. Not thread-safe.
 */
public final class StepCost {
    /** The number of steps after which earlier ones count half. */
    private static final int WINDOW = 30;

    private double spentMillis;
    private double steps;

    /**
     * Records a request for a step for which no worker had been found before.
     *
     * @param durationMillis  how long the service takes for the request, in milliseconds
     * @param found  true if the request has found a worker
     */
    public void observe(long durationMillis, boolean found) {
        spentMillis += durationMillis;
        steps += found ? 1 : 0;
        if (steps > WINDOW) {
            spentMillis /= 2;
            steps /= 2;
        }
    }

    /**
     * Returns the estimated time for a step.
     *
     * @param expectedMillis  the time that is expected before there is an observation, in milliseconds
     * @return the time in milliseconds
     */
    public double millis(double expectedMillis) {
        return (spentMillis + expectedMillis) / (steps + 1);
    }
}
