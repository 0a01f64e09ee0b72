package org.trefoilpost.decision.job.advice;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The verdicts of a policy on recent steps, from which the verdicts on a further step are predicted. A policy often treats workers
 * alike, such as those of a zone or with the same hardware; the verdict on one then tells that on others. Not thread-safe.
 */
public final class VerdictHistory {
    /** The number of steps that are remembered. */
    private static final int MAX_STEPS = 64;

    /** The number of observations that weigh as much as the mean share of workers allowed. */
    private static final double PRIOR_WEIGHT = 6;

    private final Map<String, Map<String, Boolean>> verdictsByStep = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Map<String, Boolean>> eldest) {
            return size() > MAX_STEPS;
        }
    };

    /**
     * Records a verdict.
     *
     * @param step  the name of the step, not null
     * @param worker  the identifier of the worker, not null
     * @param allowed  true if the step may run there
     */
    public void record(String step, String worker, boolean allowed) {
        verdictsByStep.computeIfAbsent(step, key -> new HashMap<>()).put(worker, allowed);
    }

    /**
     * Predicts the verdicts on a step.
     *
     * @param share  the mean share of workers that a step may run on, greater than 0 and less than 1
     * @param known  the verdicts on the step that are known, by worker, not null
     * @return the prediction, not null
     */
    public Prediction predict(double share, Map<String, Boolean> known) {
        Prediction prediction = new Prediction(share);
        known.forEach(prediction::suppose);
        return prediction;
    }

    /**
     * The expected verdicts on a step. Each follows from the one verdict on the step that tells most about it.
     */
    public final class Prediction {
        private final double share;
        private final Map<String, Double> chances = new HashMap<>();

        private Prediction(double share) {
            this.share = share;
        }

        /**
         * Returns the chance that the step may run on a worker.
         *
         * @param worker  the identifier of the worker, not null
         * @return the probability, greater than 0 and less than 1
         */
        public double chance(String worker) {
            return chances.getOrDefault(worker, share);
        }

        /**
         * Takes a verdict on the step as given.
         *
         * @param worker  the identifier of the worker, not null
         * @param allowed  true if the step may run there
         */
        public void suppose(String worker, boolean allowed) {
            Map<String, Tally> tallies = new HashMap<>();
            for (Map<String, Boolean> verdicts : verdictsByStep.values()) {
                if (verdicts.containsKey(worker) && verdicts.get(worker) == allowed) {
                    verdicts.forEach((other, verdict) ->
                            tallies.computeIfAbsent(other, key -> new Tally()).add(verdict));
                }
            }
            tallies.forEach((other, tally) -> chances.merge(other, tally.chance(share), this::stronger));
        }

        private double stronger(double first, double second) {
            return distance(first) >= distance(second) ? first : second;
        }

        /**
         * Returns how much a chance differs from the mean share, in log odds.
         */
        private double distance(double chance) {
            return Math.abs(Math.log(chance / (1 - chance)) - Math.log(share / (1 - share)));
        }
    }

    /**
     * Counts the verdicts on a worker.
     */
    private static final class Tally {
        private int asked;
        private int allowed;

        private void add(boolean verdict) {
            asked++;
            allowed += verdict ? 1 : 0;
        }

        private double chance(double share) {
            return (allowed + PRIOR_WEIGHT * share) / (asked + PRIOR_WEIGHT);
        }
    }
}
