package org.trefoilpost.decision.job;

import java.util.Optional;

/**
 * Logs the steps that fit nowhere, each at most once a second.
 */
final class WaitingStepLog {
    private static final long INTERVAL_MILLIS = 1_000;

    private final PoolState state;

    WaitingStepLog(PoolState state) {
        this.state = state;
    }

    /**
     * Logs a step with the workers that come into question, and the one that is reserved for it, if there is one.
     */
    void log(JobStepState step, ResourceAmount demand, Optional<PoolWorker> reserved, Moment now) {
        if (now.steadyMillis() - step.waitingLoggedMillis < INTERVAL_MILLIS) {
            return;
        }
        step.waitingLoggedMillis = now.steadyMillis();
        int accepting = 0;
        int belowLimit = 0;
        int withRoom = 0;
        for (PoolWorker worker : state.workers.values()) {
            accepting += worker.acceptsWork(now.steadyMillis()) ? 1 : 0;
            belowLimit += worker.acceptsWork(now.steadyMillis()) && worker.isBelowTaskLimit(step) ? 1 : 0;
            withRoom += worker.acceptsWork(now.steadyMillis()) && demand.fitsIn(worker.freeResources()) ? 1 : 0;
        }
        state.actions.logDecision(Decision.of("step-waiting")
                .with("job", step.occurrence.job.spec.id())
                .with("step", step.name())
                .with("workers", state.workers.size())
                .with("open", accepting)
                .with("belowLimit", belowLimit)
                .with("withRoom", withRoom)
                .with("kept", reserved.map(worker -> worker.id).orElse("")));
    }
}
