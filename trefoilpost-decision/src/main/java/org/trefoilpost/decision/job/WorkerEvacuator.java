package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Evacuates workers that are draining or are to be taken out of service.
 *
 * <p>Tasks that are neither long-running nor best-effort may complete, except that checkpointing ones are stopped
 * shortly before a draining worker leaves. Long-running and best-effort tasks are stopped immediately on a draining
 * worker, else as far as the availability budget of their step allows, and start again on other workers. A best-effort
 * step without a budget has its tasks stopped at once.
 */
final class WorkerEvacuator {
    private static final long CHECKPOINT_MARGIN_MILLIS = 600;

    private final PoolState state;
    private final OrderSender orderSender;

    WorkerEvacuator(PoolState state, OrderSender orderSender) {
        this.state = state;
        this.orderSender = orderSender;
    }

    /**
     * Stops the runs that may be stopped now.
     */
    void tick(Moment now) {
        for (PoolWorker worker : state.workers.values()) {
            if (worker.registration.draining() && worker.drainingSinceMillis == Long.MAX_VALUE) {
                worker.drainingSinceMillis = now.steadyMillis();
            }
            if (worker.evacuating || worker.registration.draining()) {
                stopRuns(worker, now);
            }
        }
    }

    /**
     * Returns whether a worker has no runs, and all run ends that it reported are stored and acknowledged.
     */
    static boolean isEmpty(PoolWorker worker) {
        return worker.runs.isEmpty() && worker.startsInFlight == 0 && worker.ackedEnd >= worker.processedEnd;
    }

    private void stopRuns(PoolWorker worker, Moment now) {
        List<Run> runs = new ArrayList<>(worker.runs.values());
        for (Run run : runs) {
            if (run.phase == RunPhase.RUNNING && mayStop(run, worker, now)) {
                logEvacuation(run, worker, now);
                orderSender.stop(run, worker.evacuating ? "evacuated" : "worker-leaving", now);
            }
        }
    }

    private boolean mayStop(Run run, PoolWorker worker, Moment now) {
        StepSpec spec = run.task.step.spec;
        long nowMillis = now.steadyMillis();
        if (!spec.longRunning() && !spec.bestEffort()) {
            long checkpointStopMillis = worker.drainingSinceMillis == Long.MAX_VALUE
                    ? Long.MAX_VALUE
                    : worker.drainingSinceMillis + state.timeouts.minDrainMillis() - CHECKPOINT_MARGIN_MILLIS;
            return spec.checkpointing() && nowMillis >= checkpointStopMillis;
        }
        if (worker.registration.draining() || spec.bestEffort() && spec.maxUnavailable() == 0) {
            return true;
        }
        // This task may have become ready since its worker last answered, so it counts as ready.
        int othersNotReady = run.task.step.notReadyTasksExcept(run.task, nowMillis);
        return othersNotReady < Math.max(1, spec.maxUnavailable())
                && otherWorker(run, worker, nowMillis).isPresent();
    }

    private void logEvacuation(Run run, PoolWorker evacuated, Moment now) {
        Optional<PoolWorker> other = otherWorker(run, evacuated, now.steadyMillis());
        state.actions.logDecision(run.describe(Decision.of("run-evacuated"))
                .withIfPresent("roomOn", other.map(worker -> worker.id))
                .withIfPresent("reportAge", other.map(worker -> worker.answerAgeMillis(now.steadyMillis()))));
    }

    /** Returns a worker that seems to have room for the task of a run, empty if there is none. */
    private Optional<PoolWorker> otherWorker(Run run, PoolWorker evacuated, long nowMillis) {
        JobStepState step = run.task.step;
        for (PoolWorker worker : state.workers.values()) {
            if (worker != evacuated
                    && worker.suits(step.spec, nowMillis)
                    && worker.isBelowTaskLimit(step)
                    && step.spec.reservedDemand().fitsIn(worker.freeResources())) {
                return Optional.of(worker);
            }
        }
        return Optional.empty();
    }
}
