package org.trefoilpost.decision.job.advice;

import java.util.Map;
import org.trefoilpost.decision.job.QueueConfig.AdvicePolicy;

/**
 * What the answers of the advice service have shown of the policy of a queue. Not thread-safe.
 */
public final class PolicyObservations {
    private final GoodShare goodShare = new GoodShare();
    private final VerdictHistory verdicts = new VerdictHistory();
    private final StepCost stepCost = new StepCost();

    /**
     * Returns the share of workers on which steps are allowed.
     *
     * @return the share, not null
     */
    public GoodShare goodShare() {
        return goodShare;
    }

    /**
     * Returns the verdicts on recent steps.
     *
     * @return the verdicts, not null
     */
    public VerdictHistory verdicts() {
        return verdicts;
    }

    /**
     * Predicts the verdicts on a step.
     *
     * @param known  the verdicts on the step that are known, by worker, not null
     * @return the prediction, not null
     */
    public VerdictHistory.Prediction predict(Map<String, Boolean> known) {
        return verdicts.predict(goodShare.estimate(), known);
    }

    /**
     * Returns how long steps have taken until a worker was found.
     *
     * @return the cost of a step, not null
     */
    public StepCost stepCost() {
        return stepCost;
    }

    /**
     * Returns what decides how many workers a request names.
     *
     * @param policy  the timing of the requests, not null
     * @return the instance, not null
     */
    public RequestSize requestSize(AdvicePolicy policy) {
        return RequestSize.of(policy, goodShare.estimate());
    }
}
