package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.Map;

/**
 * Ends jobs before all their tasks have completed.
 */
final class JobEnds {
    private final PoolState state;
    private final OrderSender orderSender;

    JobEnds(PoolState state, OrderSender orderSender) {
        this.state = state;
        this.orderSender = orderSender;
    }

    /**
     * Ends a job because its caller has cancelled it, and stops its runs.
     */
    void cancel(JobState job, Moment now) {
        state.end(job, JobPhase.CANCELLED, now);
        stopAll(job, "job-cancelled", now);
    }

    /**
     * Ends a job as failed because of one of its tasks, and stops its runs.
     *
     * @param reason  the stable reason
     * @param inputs  the values that led to the decision, for the log
     */
    void fail(JobTaskState task, String reason, Map<String, Object> inputs, Moment now) {
        JobState job = task.step.occurrence.job;
        state.end(job, JobPhase.FAILED, now);
        state.actions.logDecision(Decision.failure("job-failed")
                .with("job", task.id.job())
                .with("task", task.id.text())
                .with("reason", reason)
                .withAll(inputs));
        stopAll(job, "job-failed", now);
    }

    /**
     * Ends a job as failed because it can no longer be stored as it is, and stops its runs.
     *
     * @param cause  why it cannot be stored, for the log
     */
    void failUnstorable(JobState job, String cause, Moment now) {
        state.end(job, JobPhase.FAILED, now);
        state.actions.logDecision(Decision.failure("job-failed")
                .with("job", job.spec.id())
                .with("reason", "not-storable")
                .with("cause", cause));
        stopAll(job, "job-failed", now);
    }

    private void stopAll(JobState job, String reason, Moment now) {
        for (OccurrenceState occurrence : job.openOccurrences()) {
            for (JobStepState step : occurrence.steps) {
                for (JobTaskState task : step.tasks) {
                    new ArrayList<>(task.runs).forEach(run -> orderSender.stop(run, reason, now));
                }
            }
        }
    }
}
