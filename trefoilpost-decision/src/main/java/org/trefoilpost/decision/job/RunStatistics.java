package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Suspects workers on which runs fail or stall, and learns the duration of the runs of each queue.
 */
final class RunStatistics {
    private static final double FAILURE_BLAME = 1;
    /** A stalled run counts more, as it occupies its resources for longer than a failed one. */
    private static final double STALL_BLAME = 2;

    private static final double SUCCESS_DECAY = 0.5;
    /** Blame from which a worker is suspected; above that of a single failure, which may be the fault of the task. */
    private static final double BLAME_LIMIT = 1.5;

    private static final long BASE_PAUSE_MILLIS = 3_000;
    private static final long MAX_PAUSE_MILLIS = 12_000;
    /** Time without progress after which the first run of a task counts as stalled. */
    private static final long MIN_PATIENCE_MILLIS = 2_500;

    /** How many times as long as its longest step so far a run may take for the next one. */
    private static final long PATIENCE_STEPS = 3;

    /** How many stalled runs a run of an earlier owner counts as having had, as its own steps are not known. */
    private static final int ADOPTED_STALLS = 2;

    private static final int MAX_DOUBLINGS = 16;
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
     * Records the end of a run; long-running tasks are ignored.
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
            // Estimates are wrong by factors, whose arithmetic mean would be too high.
            double logError = Math.log(Math.max(1, durationMillis) / (double) step.estimateMillis());
            logEstimateErrors.merge(queue, logError, RunStatistics::movingAverage);
        }
    }

    private static double movingAverage(double mean, double sample) {
        return mean + LEARNING_RATE * (sample - mean);
    }

    /**
     * Returns the expected duration of a task of a step in milliseconds.
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
     * Records that a run stalled on a worker.
     */
    void blameStall(PoolWorker worker, long nowMillis) {
        blame(worker, STALL_BLAME, "no-progress", nowMillis);
    }

    /**
     * Pauses new work for a worker whose blame reaches the limit, unless too few workers would be left.
     */
    private void blame(PoolWorker worker, double weight, String reason, long nowMillis) {
        worker.blame += weight;
        if (worker.blame < BLAME_LIMIT || unsuspectedShareWithout(worker, nowMillis) < MIN_UNSUSPECTED_SHARE) {
            return;
        }
        long pauseMillis = Math.min(MAX_PAUSE_MILLIS, (long) (BASE_PAUSE_MILLIS * worker.blame));
        worker.suspicion.suspected(nowMillis, pauseMillis);
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
                unsuspected += worker != excluded && !worker.suspicion.isSuspected(nowMillis) ? 1 : 0;
            }
        }
        return listed == 0 ? 0 : (double) unsuspected / listed;
    }

    /**
     * Returns the time without progress after which a run counts as stalled, in milliseconds. How long a task takes for a percent
     * is not known, so each stalled run doubles the time for the next one, and what the run itself has shown counts as well.
     */
    static long patienceMillis(Run run) {
        int doublings = Math.min(MAX_DOUBLINGS, run.task.stalledRuns + (run.adopted ? ADOPTED_STALLS : 0));
        return Math.max(MIN_PATIENCE_MILLIS << doublings, PATIENCE_STEPS * run.longestStepMillis);
    }

    /**
     * Returns the runs without recent progress on a worker that has answered since. Not those that may have ended.
     */
    List<Run> stalledRuns(PoolWorker worker, long nowMillis) {
        List<Run> stalled = new ArrayList<>();
        for (Run run : worker.runs.values()) {
            boolean ordinary = !run.task.step.spec.longRunning() && !run.task.step.spec.bestEffort();
            boolean noProgress = nowMillis - run.progressMillis > patienceMillis(run);
            if (ordinary
                    && run.phase == RunPhase.RUNNING
                    && !run.mayHaveEnded
                    && noProgress
                    && worker.lastAnswerMillis > run.progressMillis) {
                stalled.add(run);
            }
        }
        return stalled;
    }
}
