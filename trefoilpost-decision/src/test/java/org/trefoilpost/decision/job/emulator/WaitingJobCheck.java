package org.trefoilpost.decision.job.emulator;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.trefoilpost.decision.job.JobSpec;
import org.trefoilpost.decision.job.ResourceAmount;
import org.trefoilpost.decision.job.StepSpec;
import org.trefoilpost.decision.job.TaskId;

/**
 * Checks that no job waits without a run while a task of it could start and the pool is far from full. Each long-running task
 * counts for itself, whether others of its job run or not.
 */
final class WaitingJobCheck {
    private static final long INTERVAL_MILLIS = 100;
    private static final long MAX_WAIT_MILLIS = 3_000;
    /** Time after the end of a long-running task's last run from which its wait counts. */
    private static final long LONG_RUNNING_PAUSE_MILLIS = 6_000;
    /** How many more tasks like the one that waits there must be room for. */
    private static final long ROOM_FOR_TASKS = 2;

    private final EmulatedPlatform platform;
    private final InvariantChecker checks;
    private final Map<String, Long> waitingSinceMillis = new HashMap<>();

    WaitingJobCheck(EmulatedPlatform platform) {
        this.platform = platform;
        this.checks = platform.checks();
    }

    /**
     * Checks the jobs from now on.
     */
    void start() {
        checks.acceptedJobs().forEach(this::check);
        platform.time().schedule(INTERVAL_MILLIS, this::start);
    }

    private void check(String job) {
        JobSpec spec = platform.jobs().get(job);
        if (checks.isCancelRequested(job) || checks.isShownEnded(job) || platform.isCrashing(job)) {
            return;
        }
        if (spec.longRunning()) {
            for (TaskId task : tasks(spec, 0)) {
                update(task.text(), List.of(task), hasRoom(spec, task), LONG_RUNNING_PAUSE_MILLIS + MAX_WAIT_MILLIS);
            }
        } else {
            List<TaskId> tasks = IntStream.range(0, spec.steps().size())
                    .mapToObj(step -> tasks(spec, step))
                    .flatMap(List::stream)
                    .toList();
            update(job, tasks, tasks.stream().anyMatch(task -> couldStart(spec, task)), MAX_WAIT_MILLIS);
        }
    }

    /**
     * Updates since when none of some tasks has run although one could.
     */
    private void update(String name, List<TaskId> tasks, boolean couldRun, long limitMillis) {
        long nowMillis = platform.time().nowMillis();
        long lastStart = tasks.stream().mapToLong(checks::lastStartMillis).max().orElse(Long.MIN_VALUE);
        if (!couldRun || tasks.stream().anyMatch(this::isRunning)) {
            waitingSinceMillis.remove(name);
        } else if (nowMillis - waitingSinceMillis.merge(name, nowMillis, (since, any) -> Math.max(since, lastStart))
                >= limitMillis) {
            checks.addViolation("LOST " + name + " could run and does not, with most of the workers' room free");
            waitingSinceMillis.remove(name);
        }
    }

    private boolean isRunning(TaskId task) {
        return platform.livingWorkers().stream().anyMatch(worker -> worker.isRunning(task));
    }

    private boolean couldStart(JobSpec spec, TaskId task) {
        boolean ready = spec.steps().get(task.step()).after().stream()
                .allMatch(earlier -> tasks(spec, earlier).stream().allMatch(checks::isCompleted));
        return ready && !checks.isCompleted(task) && hasRoom(spec, task);
    }

    private static List<TaskId> tasks(JobSpec spec, int step) {
        return IntStream.range(0, spec.steps().get(step).count())
                .mapToObj(index -> new TaskId(spec.id(), 0, step, index))
                .toList();
    }

    private boolean hasRoom(JobSpec spec, TaskId task) {
        StepSpec step = spec.steps().get(task.step());
        ResourceAmount capacity = ResourceAmount.NONE;
        ResourceAmount used = ResourceAmount.NONE;
        long fitting = 0;
        for (EmulatedWorker worker : platform.livingWorkers()) {
            if (worker.reachable()) {
                capacity = capacity.plus(worker.capacity());
                used = used.plus(worker.used());
                long count = step.reservedDemand().timesIn(worker.capacity().minus(worker.used()));
                fitting += step.maxPerWorker() == 0 ? count : Math.min(count, allowedTasks(spec, task, worker));
            }
        }
        return fitting >= ROOM_FOR_TASKS && used.times(2).fitsIn(capacity);
    }

    private long allowedTasks(JobSpec spec, TaskId task, EmulatedWorker worker) {
        long running =
                tasks(spec, task.step()).stream().filter(worker::isRunning).count();
        return spec.steps().get(task.step()).maxPerWorker() - running;
    }
}
