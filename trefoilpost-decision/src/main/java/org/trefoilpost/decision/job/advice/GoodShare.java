package org.trefoilpost.decision.job.advice;

/**
 * The share of workers that a policy allows a step to run on, as observed in its latest answers. Not thread-safe.
 */
public final class GoodShare {
    /** The number of observations after which earlier ones count half. */
    private static final int WINDOW = 100;

    private double asked;
    private double good;

    /**
     * Records an answer about workers that the step had not been asked about before.
     *
     * @param workers  the number of workers named, not negative
     * @param allowed  how many of them the step may run on, not negative
     */
    public void observe(long workers, long allowed) {
        asked += workers;
        good += allowed;
        if (asked > WINDOW) {
            asked /= 2;
            good /= 2;
        }
    }

    /**
     * Returns the estimated share, one half before there is an observation.
     *
     * @return the share, greater than 0 and less than 1
     */
    public double estimate() {
        return (good + 1) / (asked + 2);
    }
}
