package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Recognises workers that fail, stall or slow down what they run, and learns how long the tasks of a queue take.
 */
final class RunStatistics {
    private static final double FAILURE_BLAME = 1;
    /** What a run without progress counts: it keeps its room for longer than a failed one. */
    private static final double STALL_BLAME = 2;

    private static final double SUCCESS_DECAY = 0.5;
    /** Blame from which a worker pauses; one failure of a task by its own fault is less. */
    private static final double BLAME_LIMIT = 1.5;

    private static final long BASE_PAUSE_MILLIS = 3_000;
    private static final long MAX_PAUSE_MILLIS = 12_000;
    private static final long STALL_TIMEOUT_MILLIS = 2_500;
    private static final double LEARNING_RATE = 0.1;
    private static final long DEFAULT_DURATION_MILLIS = 1_000;
    private static final double MIN_UNSUSPECTED_SHARE = 0.5;

    private final PoolState state;
    private final Map<String, Double> logEstimateErrors = new HashMap<>();
    private final Map<String, Double> meanDurationMillis = new HashMap<>();

    RunStatistics(PoolState state) {
        this.state = state;
    }

    /**
     * Takes in the end of a run.
     */
    void runEnded(Run run, RunEnd how, long nowMillis) {
        if (run.task.step.spec.longRunning()) {
            return;
        }
        if (how == RunEnd.FAILED) {
            blame(run.worker, FAILURE_BLAME, "failed-run", nowMillis);
        } else if (how == RunEnd.DONE) {
            run.worker.blame *= SUCCESS_DECAY;
            learn(run, nowMillis - run.confirmedMillis);
        }
    }

    private void learn(Run run, long tookMillis) {
        StepSpec step = run.task.step.spec;
        String queue = run.task.step.occurrence.job.spec.queue();
        meanDurationMillis.merge(queue, (double) tookMillis, RunStatistics::movingAverage);
        if (step.estimateMillis() > 0 && run.number == 1) {
            // Estimates are off by factors, so a mean of the factors themselves would be too high.
            double ratio = Math.log(Math.max(1, tookMillis) / (double) step.estimateMillis());
            logEstimateErrors.merge(queue, ratio, RunStatistics::movingAverage);
        }
    }

    private static double movingAverage(double old, double sample) {
        return old + LEARNING_RATE * (sample - old);
    }

    /**
     * Returns how long a task of a step is expected to take.
     */
    long expectedMillis(JobState job, StepSpec step) {
        double mean = meanDurationMillis.getOrDefault(job.spec.queue(), (double) DEFAULT_DURATION_MILLIS);
        if (step.estimateMillis() <= 0) {
            return (long) mean;
        }
        double declared = step.estimateMillis() * Math.exp(logEstimateErrors.getOrDefault(job.spec.queue(), 0.0));
        return (long) Math.sqrt(declared * mean);
    }

    /**
     * Blames a worker for a run without progress.
     */
    void blameStall(PoolWorker slot, long nowMillis) {
        blame(slot, STALL_BLAME, "no-progress", nowMillis);
    }

    /**
     * Gives a worker no new work for a while if it has failed too often, unless too few workers would be left.
     */
    private void blame(PoolWorker slot, double weight, String reason, long nowMillis) {
        slot.blame += weight;
        if (slot.blame < BLAME_LIMIT || unsuspectedShareWithout(slot, nowMillis) < MIN_UNSUSPECTED_SHARE) {
            return;
        }
        long pause = Math.min(MAX_PAUSE_MILLIS, (long) (BASE_PAUSE_MILLIS * slot.blame));
        slot.suspectUntilMillis = Math.max(slot.suspectUntilMillis, nowMillis + pause);
        state.actions.logDecision(Decision.failure("worker-suspected")
                .with("worker", slot.id)
                .with("reason", reason)
                .with("blame", slot.blame)
                .with("pauseMillis", pause));
    }

    private double unsuspectedShareWithout(PoolWorker left, long nowMillis) {
        int listed = 0;
        int open = 0;
        for (PoolWorker slot : state.workers.values()) {
            if (slot.listed && !slot.registration.draining()) {
                listed++;
                open += slot != left && nowMillis >= slot.suspectUntilMillis ? 1 : 0;
            }
        }
        return listed == 0 ? 0 : (double) open / listed;
    }

    /**
     * Finds runs whose progress stands still.
     */
    List<Run> stalledRuns(PoolWorker slot, long nowMillis) {
        List<Run> stalled = new ArrayList<>();
        for (Run run : slot.runs.values()) {
            boolean ordinary = !run.task.step.spec.longRunning() && !run.task.step.spec.bestEffort();
            boolean silent = nowMillis - run.progressMillis > STALL_TIMEOUT_MILLIS;
            if (ordinary && run.phase == RunPhase.RUNNING && silent && slot.lastAnswerMillis > run.progressMillis) {
                stalled.add(run);
            }
        }
        return stalled;
    }
}
