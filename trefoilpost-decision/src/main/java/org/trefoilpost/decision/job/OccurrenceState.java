package org.trefoilpost.decision.job;

import java.util.List;

/**
 * One occurrence of a job's steps.
 */
final class OccurrenceState {
    final JobState job;
    final int number;
    final StepState[] steps;

    OccurrenceState(JobState job, int number) {
        this.job = job;
        this.number = number;
        List<StepSpec> specs = job.spec.steps();
        this.steps = new StepState[specs.size()];
        for (int i = 0; i < steps.length; i++) {
            steps[i] = new StepState(this, i, specs.get(i));
        }
    }

    boolean ended() {
        for (StepState step : steps) {
            if (!step.ended()) {
                return false;
            }
        }
        return true;
    }

    /**
     * Makes the steps ready whose earlier steps have ended.
     */
    void advance(long nowMillis) {
        for (StepState step : steps) {
            if (step.readyMillis == StepState.NOT_READY && earlierEnded(step)) {
                step.readyMillis = nowMillis;
            }
        }
    }

    private boolean earlierEnded(StepState step) {
        for (int earlier : step.spec.after()) {
            if (!steps[earlier].ended()) {
                return false;
            }
        }
        return true;
    }
}
