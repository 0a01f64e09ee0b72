package org.trefoilpost.decision.job.emulator;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.trefoilpost.decision.job.JobSpec;
import org.trefoilpost.decision.job.ResourceAmount;
import org.trefoilpost.decision.job.StepSpec;
import org.trefoilpost.decision.job.TaskId;

/**
 * Checks that no job waits without a run while a task of it could start. Each long-running task counts for itself, whether
 * others of its job run or not.
 */
public final class WaitingJobCheck {
    private static final long INTERVAL_MILLIS = 100;
    private static final long MAX_WAIT_MILLIS = 3_000;
    /** Time after the end of a long-running task's last run from which its wait counts. */
    private static final long LONG_RUNNING_PAUSE_MILLIS = 6_000;
    /** How many more tasks like the one that waits there must be room for. */
    private static final long ROOM_FOR_TASKS = 2;

    private final EmulatorTime time;
    private final InvariantChecker checks;
    private final Site site;
    private final Map<String, Long> waitingSinceMillis = new HashMap<>();
    /** The jobs that need not run any more. */
    private final Set<String> ended = new HashSet<>();

    /**
     * Constructs a check.
     *
     * @param time  the time of the emulation, not null
     * @param checks  knows the jobs' runs and receives the violations, not null
     * @param site  the workers, not null
     */
    public WaitingJobCheck(EmulatorTime time, InvariantChecker checks, Site site) {
        this.time = time;
        this.checks = checks;
        this.site = site;
    }

    /**
     * Checks the jobs from now on.
     */
    public void start() {
        checks.acceptedJobs().stream().filter(job -> !ended.contains(job)).forEach(this::check);
        time.schedule(INTERVAL_MILLIS, this::start);
    }

    /**
     * Returns the tasks of a long-running job that do not run although there is room for them.
     *
     * @param job  the identifier of the job, not null
     * @return the names of the tasks, not null
     */
    public List<String> missingTasks(String job) {
        JobSpec spec = checks.spec(job);
        return tasks(spec, 0).stream()
                .filter(task -> !isRunning(task) && hasRoom(spec, task, 1))
                .map(TaskId::text)
                .toList();
    }

    private void check(String job) {
        JobSpec spec = checks.spec(job);
        if (!site.isCalm(spec)) {
            waitingSinceMillis.keySet().removeIf(name -> name.startsWith(job));
            return;
        }
        List<TaskId> tasks = IntStream.range(0, spec.steps().size())
                .mapToObj(step -> tasks(spec, step))
                .flatMap(List::stream)
                .toList();
        if (checks.isCancelRequested(job)
                || checks.isShownEnded(job)
                || tasks.stream().allMatch(checks::isCompleted)) {
            ended.add(job);
        } else if (spec.longRunning()) {
            for (TaskId task : tasks(spec, 0)) {
                update(task.text(), List.of(task), hasRoom(spec, task, ROOM_FOR_TASKS), LONG_RUNNING_PAUSE_MILLIS);
            }
        } else {
            update(job, tasks, tasks.stream().anyMatch(task -> couldStart(spec, task)), 0);
        }
    }

    /**
     * Updates since when none of some tasks has run although one could.
     */
    private void update(String name, List<TaskId> tasks, boolean couldRun, long pauseMillis) {
        long nowMillis = time.nowMillis();
        if (!couldRun || tasks.stream().anyMatch(this::isRunning)) {
            waitingSinceMillis.remove(name);
            return;
        }
        long lastStart = tasks.stream().mapToLong(checks::lastStartMillis).max().orElse(Long.MIN_VALUE);
        long idleSince = tasks.stream().mapToLong(checks::idleSinceMillis).max().orElse(Long.MIN_VALUE);
        long waitedMillis =
                nowMillis - waitingSinceMillis.merge(name, nowMillis, (since, any) -> Math.max(since, lastStart));
        if (waitedMillis >= MAX_WAIT_MILLIS
                && nowMillis - idleSince >= MAX_WAIT_MILLIS + pauseMillis
                && !site.isExempt(tasks.get(0).job())) {
            checks.addViolation("LOST " + name + " could run and does not, for " + waitedMillis + " ms");
            waitingSinceMillis.remove(name);
        }
    }

    private boolean isRunning(TaskId task) {
        return site.livingWorkers().stream().anyMatch(worker -> worker.isRunning(task));
    }

    private boolean couldStart(JobSpec spec, TaskId task) {
        boolean ready = spec.steps().get(task.step()).after().stream()
                .allMatch(earlier -> tasks(spec, earlier).stream().allMatch(checks::isCompleted));
        return ready && !checks.isCompleted(task) && hasRoom(spec, task, ROOM_FOR_TASKS);
    }

    private static List<TaskId> tasks(JobSpec spec, int step) {
        return IntStream.range(0, spec.steps().get(step).count())
                .mapToObj(index -> new TaskId(spec.id(), 0, step, index))
                .toList();
    }

    private boolean hasRoom(JobSpec spec, TaskId task, long times) {
        return site.pools(spec).stream().allMatch(workers -> hasRoom(spec, task, workers, times));
    }

    private boolean hasRoom(JobSpec spec, TaskId task, List<EmulatedWorker> workers, long times) {
        StepSpec step = spec.steps().get(task.step());
        ResourceAmount capacity = ResourceAmount.NONE;
        ResourceAmount used = ResourceAmount.NONE;
        long fitting = 0;
        for (EmulatedWorker worker : workers) {
            if (worker.reachable()) {
                capacity = capacity.plus(worker.capacity());
                used = used.plus(worker.used());
                long count = step.reservedDemand().timesIn(worker.capacity().minus(worker.used()));
                fitting += step.maxPerWorker() == 0 ? count : Math.min(count, allowedTasks(spec, task, worker));
            }
        }
        return fitting >= times && (site.countsWhenFull(spec) || used.times(2).fitsIn(capacity));
    }

    private long allowedTasks(JobSpec spec, TaskId task, EmulatedWorker worker) {
        long running =
                tasks(spec, task.step()).stream().filter(worker::isRunning).count();
        return spec.steps().get(task.step()).maxPerWorker() - running;
    }

    /**
     * The workers on which jobs have to run.
     */
    public interface Site {
        /**
         * Returns whether a job has to run now, as there has been no fault for long enough.
         *
         * @param job  the job, not null
         * @return true if it has
         */
        boolean isCalm(JobSpec job);

        /**
         * Returns whether a job also has to run while more than half of its pool is in use.
         *
         * @param job  the job, not null
         * @return true if it has
         */
        boolean countsWhenFull(JobSpec job);

        /**
         * Returns whether a job need not run.
         *
         * @param job  the identifier of the job, not null
         * @return true if it need not
         */
        boolean isExempt(String job);

        /**
         * Returns the workers that run, of all pools.
         *
         * @return the workers, not null
         */
        List<EmulatedWorker> livingWorkers();

        /**
         * Returns the workers of each pool in which a job may be. It has to run if each of them has room.
         *
         * @param job  the job, not null
         * @return the workers that run, by pool, not null
         */
        List<List<EmulatedWorker>> pools(JobSpec job);
    }
}
