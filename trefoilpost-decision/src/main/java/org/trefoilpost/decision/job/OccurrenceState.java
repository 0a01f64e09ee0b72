package org.trefoilpost.decision.job;

import java.util.List;

/**
 * The state of an occurrence of a job.
 */
final class OccurrenceState {
    final JobState job;
    final int number;
    final JobStepState[] steps;

    OccurrenceState(JobState job, int number) {
        this.job = job;
        this.number = number;
        List<StepSpec> specs = job.spec.steps();
        this.steps = new JobStepState[specs.size()];
        for (int i = 0; i < steps.length; i++) {
            steps[i] = new JobStepState(this, i, specs.get(i));
            for (JobTaskState task : steps[i].tasks) {
                task.mayHaveUnseenRun = job.inherited;
            }
        }
    }

    boolean ended() {
        for (JobStepState step : steps) {
            if (!step.ended()) {
                return false;
            }
        }
        return true;
    }

    /**
     * Marks the steps as ready whose predecessors have ended.
     */
    void advance(long nowMillis) {
        for (JobStepState step : steps) {
            if (step.readyMillis == JobStepState.NOT_READY && earlierEnded(step)) {
                step.readyMillis = nowMillis;
            }
        }
    }

    private boolean earlierEnded(JobStepState step) {
        for (int earlier : step.spec.after()) {
            if (!steps[earlier].ended()) {
                return false;
            }
        }
        return true;
    }
}
