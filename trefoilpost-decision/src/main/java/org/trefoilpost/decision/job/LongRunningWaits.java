package org.trefoilpost.decision.job;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Observes how long the long-running tasks of a pool have not run, and why. It decides nothing about them.
 *
 * <p>A task waits while no run of it is confirmed on a worker that answers: since it was last seen with such a run, or
 * since its step could start, for an inherited job since the pool was opened.
 */
final class LongRunningWaits {
    /** Time between two observations, by which a wait may be shown too long. */
    static final long OBSERVATION_INTERVAL_MILLIS = 500;

    /** The wait from which a task is named in the log. */
    static final long LOGGED_WAIT_MILLIS = 3_000;

    private static final long LOG_INTERVAL_MILLIS = 1_000;

    private final PoolState state;
    private final WaitDiagnosis diagnosis;
    private final Map<WaitReason, TaskWait> longest = new EnumMap<>(WaitReason.class);
    private final Map<WaitReason, Long> loggedMillis = new EnumMap<>(WaitReason.class);
    private Map<String, Long> longestMillis = Map.of();
    private long observedMillis = Long.MIN_VALUE / 2;
    private long lastLoggedMillis = Long.MIN_VALUE / 2;

    LongRunningWaits(PoolState state, PlacementAdvice advice) {
        this.state = state;
        this.diagnosis = new WaitDiagnosis(state, advice);
    }

    /**
     * Observes the tasks, if {@link #OBSERVATION_INTERVAL_MILLIS} have passed, and logs one that waits for long.
     */
    void observeIfDue(OrderPermission permission, Moment now) {
        if (now.steadyMillis() - observedMillis < OBSERVATION_INTERVAL_MILLIS) {
            return;
        }
        observedMillis = now.steadyMillis();
        longest.clear();
        Optional<TaskWait> placeable = observe(permission, now.steadyMillis());
        // One diagnosis of the workers in each observation, so that many waiting tasks cost little.
        placeable.ifPresent(
                wait -> add(new TaskWait(wait.task(), wait.millis(), diagnosis.placement(wait.task(), now))));
        longestMillis = byText();
        logIfDue(permission, now);
    }

    /**
     * Returns the longest wait for each reason, in milliseconds by the reason's text, as of the last observation. Of the tasks
     * that only need a worker, the one that has waited longest is counted.
     */
    Map<String, Long> longestMillis() {
        return longestMillis;
    }

    private Map<String, Long> byText() {
        if (longest.isEmpty()) {
            return Map.of();
        }
        Map<String, Long> millis = new HashMap<>();
        longest.forEach((reason, wait) -> millis.put(reason.text(), wait.millis()));
        return Map.copyOf(millis);
    }

    /**
     * Adds the waits with an obstacle, and returns the longest one of a task that only needs a worker.
     */
    private Optional<TaskWait> observe(OrderPermission permission, long nowMillis) {
        TaskWait placeable = null;
        for (JobState job : state.openJobs.values()) {
            if (!job.stored) {
                continue;
            }
            for (OccurrenceState occurrence : job.openOccurrences()) {
                for (JobStepState step : occurrence.steps) {
                    if (step.spec.longRunning() && step.readyMillis != JobStepState.NOT_READY) {
                        placeable = observe(step, placeable, permission, nowMillis);
                    }
                }
            }
        }
        return Optional.ofNullable(placeable);
    }

    private TaskWait observe(JobStepState step, TaskWait placeable, OrderPermission permission, long nowMillis) {
        TaskWait longestPlaceable = placeable;
        for (JobTaskState task : step.tasks) {
            task.lastRunningMillis = Math.max(task.lastRunningMillis, lastRunningMillis(task, nowMillis));
            long waitMillis = nowMillis - Math.max(step.readyMillis, task.lastRunningMillis);
            if (task.done || waitMillis <= 0) {
                continue;
            }
            Optional<WaitReason> obstacle = diagnosis.obstacle(task, permission, nowMillis);
            if (obstacle.isPresent()) {
                add(new TaskWait(task, waitMillis, obstacle.get()));
            } else if (longestPlaceable == null || waitMillis > longestPlaceable.millis()) {
                longestPlaceable = new TaskWait(task, waitMillis, WaitReason.NOT_PLACED);
            }
        }
        return longestPlaceable;
    }

    /**
     * Returns when a task was last known to run by its present runs.
     */
    private static long lastRunningMillis(JobTaskState task, long nowMillis) {
        long last = Long.MIN_VALUE;
        for (Run run : task.runs) {
            if (run.phase == RunPhase.RUNNING) {
                boolean answers = run.worker.missedCalls == 0 && !run.worker.ended;
                long known = answers ? nowMillis : Math.max(run.confirmedMillis, run.worker.lastAnswerMillis);
                last = Math.max(last, known);
            }
        }
        return last;
    }

    private void add(TaskWait wait) {
        longest.merge(wait.reason(), wait, (a, b) -> b.millis() > a.millis() ? b : a);
    }

    /**
     * Logs a long wait, at most one in each {@link #LOG_INTERVAL_MILLIS}. The reasons take turns, so that a wait which lasts
     * does not hide the others.
     */
    private void logIfDue(OrderPermission permission, Moment now) {
        if (now.steadyMillis() - lastLoggedMillis < LOG_INTERVAL_MILLIS) {
            return;
        }
        longest.values().stream()
                .filter(wait -> wait.millis() > LOGGED_WAIT_MILLIS)
                .min(Comparator.comparingLong(
                                (TaskWait wait) -> loggedMillis.getOrDefault(wait.reason(), Long.MIN_VALUE))
                        .thenComparing(
                                Comparator.comparingLong(TaskWait::millis).reversed()))
                .ifPresent(wait -> {
                    lastLoggedMillis = now.steadyMillis();
                    loggedMillis.put(wait.reason(), now.steadyMillis());
                    state.actions.logDecision(diagnosis.describe(wait, permission, now));
                });
    }
}
