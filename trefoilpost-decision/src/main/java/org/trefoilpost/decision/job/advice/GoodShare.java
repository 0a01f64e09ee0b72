package org.trefoilpost.decision.job.advice;

/**
 * The share of workers that a policy allows a step to run on, as observed in its latest answers. Not thread-safe.
 */
public final class GoodShare {
    /** The number of observations after which earlier ones count half. */
    private static final int WINDOW = 100;

    /** The probability below which a series of denials is not taken for chance. */
    private static final double MIN_DENIAL_PROBABILITY = 0.001;

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
     * Returns whether a step that has been denied on a number of workers may still be allowed on others.
     *
     * @param denied  the number of workers, not negative
     * @return false if so many denials show that the policy hardly allows the step anywhere
     */
    public boolean mayAllowOthers(long denied) {
        return Math.pow(1 - estimate(), denied) >= MIN_DENIAL_PROBABILITY;
    }

    /**
     * Returns how many workers are expected to have one that the step is allowed on.
     *
     * @return the number of workers, at least 2
     */
    public int workersForOne() {
        return (int) Math.ceil(1 / estimate());
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
