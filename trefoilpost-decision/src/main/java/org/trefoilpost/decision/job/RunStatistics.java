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

    private void learn(Run run, long durationMillis) {
        StepSpec step = run.task.step.spec;
        String queue = run.task.step.occurrence.job.spec.queue();
        meanDurationMillis.merge(queue, (double) durationMillis, RunStatistics::movingAverage);
        if (step.estimateMillis() > 0 && run.number == 1) {
            // Estimates are off by factors, so a mean of the factors themselves would be too high.
            double logError = Math.log(Math.max(1, durationMillis) / (double) step.estimateMillis());
            logEstimateErrors.merge(queue, logError, RunStatistics::movingAverage);
        }
    }

    private static double movingAverage(double mean, double sample) {
        return mean + LEARNING_RATE * (sample - mean);
    }

    /**
     * Returns how long a task of a step is expected to take.
     */
    long expectedMillis(JobState job, StepSpec step) {
        double mean = meanDurationMillis.getOrDefault(job.spec.queue(), (double) DEFAULT_DURATION_MILLIS);
        if (step.estimateMillis() <= 0) {
            return (long) mean;
        }
        double corrected = step.estimateMillis() * Math.exp(logEstimateErrors.getOrDefault(job.spec.queue(), 0.0));
        return (long) Math.sqrt(corrected * mean);
    }

    /**
     * Blames a worker for a run without progress.
     */
    void blameStall(PoolWorker worker, long nowMillis) {
        blame(worker, STALL_BLAME, "no-progress", nowMillis);
    }

    /**
     * Gives a worker no new work for a while if it has failed too often, unless too few workers would be left.
     */
    private void blame(PoolWorker worker, double weight, String reason, long nowMillis) {
        worker.blame += weight;
        if (worker.blame < BLAME_LIMIT || unsuspectedShareWithout(worker, nowMillis) < MIN_UNSUSPECTED_SHARE) {
            return;
        }
        long pauseMillis = Math.min(MAX_PAUSE_MILLIS, (long) (BASE_PAUSE_MILLIS * worker.blame));
        worker.suspectUntilMillis = Math.max(worker.suspectUntilMillis, nowMillis + pauseMillis);
        state.actions.logDecision(Decision.failure("worker-suspected")
                .with("worker", worker.id)
                .with("reason", reason)
                .with("blame", worker.blame)
                .with("pauseMillis", pauseMillis));
    }

    private double unsuspectedShareWithout(PoolWorker excluded, long nowMillis) {
        int listed = 0;
        int unsuspected = 0;
        for (PoolWorker worker : state.workers.values()) {
            if (worker.listed && !worker.registration.draining()) {
                listed++;
                unsuspected += worker != excluded && nowMillis >= worker.suspectUntilMillis ? 1 : 0;
            }
        }
        return listed == 0 ? 0 : (double) unsuspected / listed;
    }

    /**
     * Finds runs whose progress stands still.
     */
    List<Run> stalledRuns(PoolWorker worker, long nowMillis) {
        List<Run> stalled = new ArrayList<>();
        for (Run run : worker.runs.values()) {
            boolean ordinary = !run.task.step.spec.longRunning() && !run.task.step.spec.bestEffort();
            boolean noProgress = nowMillis - run.progressMillis > STALL_TIMEOUT_MILLIS;
            if (ordinary
                    && run.phase == RunPhase.RUNNING
                    && noProgress
                    && worker.lastAnswerMillis > run.progressMillis) {
                stalled.add(run);
            }
        }
        return stalled;
    }
}
