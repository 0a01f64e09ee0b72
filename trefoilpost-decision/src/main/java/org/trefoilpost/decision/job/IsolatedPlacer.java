package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import org.trefoilpost.decision.job.crash.CrashEvidence;
import org.trefoilpost.decision.job.crash.Isolation;

/**
 * Places tasks under which workers have crashed apart from the tasks of other jobs, so that the next crash shows which task
 * causes it and the others lose nothing. The number of workers used for this is limited while the other tasks need workers,
 * so that several such tasks do not take the whole pool.
 */
final class IsolatedPlacer {
    /** One of so many workers, rounded up, may be used at a time however many the other tasks need. */
    private static final int WORKERS_PER_ISOLATED = 3;

    /** The number of workers that are left to tasks which arrive, even if no other task needs one. */
    private static final int WORKERS_FOR_ARRIVALS = 1;

    /** How long a gang waits for workers that meet the isolation of its tasks. */
    private static final long GANG_PATIENCE_MILLIS = 2_000;

    private final PoolState state;
    private final Starter starter;

    IsolatedPlacer(PoolState state, Starter starter) {
        this.state = state;
        this.starter = starter;
    }

    /**
     * Returns whether a task waits for a worker on which it is kept apart.
     */
    static boolean awaits(JobTaskState task, long nowMillis) {
        return task.isolation() != Isolation.NONE
                && nowMillis - task.crashedMillis <= task.isolation().patienceMillis();
    }

    /**
     * Places the given tasks, those with the fewest crashes first, as they are the least likely to cause them, and adds the
     * workers that are kept free for the others to the reserved ones.
     *
     * @param tasks  the tasks that wait and could start
     * @param othersDemand  the resources that the other tasks which could start ask for
     */
    void place(List<JobTaskState> tasks, ResourceAmount othersDemand, Set<PoolWorker> reserved, Moment now) {
        if (tasks.isEmpty()) {
            return;
        }
        List<JobTaskState> ordered = new ArrayList<>(tasks);
        ordered.sort(Comparator.comparingInt((JobTaskState task) -> task.crashRecord.crashes())
                .thenComparingLong(task -> task.crashedMillis));
        int available = availableWorkers(othersDemand, now.steadyMillis());
        for (JobTaskState task : ordered) {
            if (!task.runs.isEmpty() || isUnstored(task)) {
                continue;
            }
            List<PoolWorker> workers = starter.workersFor(task, now);
            PoolWorker worker = quietWorker(task, workers, available, now.steadyMillis());
            if (worker != null && hasAnsweredJustNow(worker, now.steadyMillis())) {
                boolean used = worker.isOnProbation();
                available -= starter.start(task, worker, now) && !used ? 1 : 0;
            } else if (worker != null) {
                worker.wantAnswer(now.steadyMillis());
                available -= reserved.add(worker) ? 1 : 0;
            } else if (available > 0 && reserve(task, reserved, now)) {
                available--;
            }
        }
    }

    /**
     * Returns whether a gang may use a worker: one that meets the isolation of each of its tasks, unless that has waited for
     * {@link #GANG_PATIENCE_MILLIS}, as the workers that are reserved for a gang need not meet it.
     */
    boolean mayRunGang(JobStepState step, PoolWorker worker, long nowMillis) {
        for (JobTaskState task : step.tasks) {
            boolean waits = awaits(task, nowMillis) && nowMillis - task.crashedMillis <= GANG_PATIENCE_MILLIS;
            if (isUnstored(task) || waits && !isQuiet(task, worker, nowMillis)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns whether the crashes of a task are not stored yet. It must not start before, as the next owner of the pool
     * would not know of them.
     */
    private static boolean isUnstored(JobTaskState task) {
        JobState job = task.step.occurrence.job;
        return task.isolation() == Isolation.ALONE && job.storedCrashChanges < job.crashChanges;
    }

    /**
     * Returns whether a worker is known to run. Only then does its silence after the start tell anything of the task.
     */
    private static boolean hasAnsweredJustNow(PoolWorker worker, long nowMillis) {
        return nowMillis - worker.lastAnswerMillis <= CrashEvidence.RECENT_MILLIS;
    }

    /**
     * Returns how many more workers may be used: those that the other tasks do not need, so that tasks do not wait beside
     * idle workers, and a share of all in any case. Workers that have gone silent under such a task count towards the share.
     */
    private int availableWorkers(ResourceAmount othersDemand, long nowMillis) {
        PoolSize accepting = PoolSize.NONE;
        ResourceAmount needed = othersDemand;
        int onProbation = 0;
        int acceptingOnProbation = 0;
        for (PoolWorker worker : state.workers.values()) {
            onProbation += worker.isOnProbation() ? 1 : 0;
            if (worker.acceptsWork(nowMillis)) {
                acceptingOnProbation += worker.isOnProbation() ? 1 : 0;
                accepting = accepting.plusWorker(worker.registration.capacity());
                needed = needed.plus(settledUse(worker));
            }
        }
        int share = (accepting.workers() + WORKERS_PER_ISOLATED - 1) / WORKERS_PER_ISOLATED;
        int neededWorkers = Math.max(WORKERS_FOR_ARRIVALS, (int) Math.ceil(accepting.machinesFor(needed)));
        return Math.max(share - onProbation, accepting.workers() - neededWorkers - acceptingOnProbation);
    }

    /**
     * Returns what the runs of a worker use that are not on probation.
     */
    private static ResourceAmount settledUse(PoolWorker worker) {
        ResourceAmount used = ResourceAmount.NONE;
        for (Run run : worker.runs.values()) {
            used = run.isOnProbation() ? used : used.plus(run.reserved());
        }
        return used;
    }

    /**
     * Returns the worker with the fewest runs of other jobs that meets the isolation of a task, null if there is none.
     */
    private static PoolWorker quietWorker(JobTaskState task, List<PoolWorker> workers, int available, long nowMillis) {
        PoolWorker best = null;
        for (PoolWorker worker : workers) {
            boolean usable = available > 0 || worker.isOnProbation();
            if (usable
                    && isQuiet(task, worker, nowMillis)
                    && (best == null || companions(task, worker) < companions(task, best))) {
                best = worker;
            }
        }
        return best;
    }

    /**
     * Returns whether a worker meets the isolation of a task: no other job's run may crash it at about the same time.
     */
    private static boolean isQuiet(JobTaskState task, PoolWorker worker, long nowMillis) {
        for (Run run : worker.runs.values()) {
            boolean settled = task.isolation() == Isolation.ALONE
                    ? run.hasSurvived()
                    : run.isConfirmed() && nowMillis - run.startedMillis >= CrashEvidence.RECENT_MILLIS;
            if (run.job() != task.step.occurrence.job && (!settled || run.isOnProbation())) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns the number of other jobs' runs on a worker.
     */
    private static int companions(JobTaskState task, PoolWorker worker) {
        int companions = 0;
        for (Run run : worker.runs.values()) {
            companions += run.job() == task.step.occurrence.job ? 0 : 1;
        }
        return companions;
    }

    /**
     * Reserves the worker that will meet the isolation of a task the soonest, and returns whether there is one.
     */
    private boolean reserve(JobTaskState task, Set<PoolWorker> reserved, Moment now) {
        PoolWorker best = null;
        for (PoolWorker worker : state.workers.values()) {
            boolean eligible = worker.suits(task.step.spec, now.steadyMillis())
                    && !reserved.contains(worker)
                    && !worker.isOnProbation()
                    && worker.isBelowTaskLimit(task.step)
                    && task.step.spec.reservedDemand().fitsIn(worker.capacityBesideLongRunning());
            if (eligible && (best == null || isSooner(task, worker, best))) {
                best = worker;
            }
        }
        return best != null && reserved.add(best);
    }

    /**
     * Returns whether a worker will meet the isolation of a task sooner than another.
     */
    private static boolean isSooner(JobTaskState task, PoolWorker worker, PoolWorker other) {
        long lastStart = worker.lastStartMillis();
        return task.isolation() == Isolation.ALONE
                ? companions(task, worker) < companions(task, other)
                : lastStart < other.lastStartMillis();
    }

    /**
     * Starts tasks within all limits but those of the isolation.
     */
    interface Starter {
        /**
         * Returns the workers that may run a task and have room for it.
         */
        List<PoolWorker> workersFor(JobTaskState task, Moment now);

        /**
         * Starts a task in isolation unless the limit of its team forbids it, and returns whether it was started.
         */
        boolean start(JobTaskState task, PoolWorker worker, Moment now);
    }
}
