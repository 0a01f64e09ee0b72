package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The remaining work of the accepted jobs of a pool, without long-running and best-effort steps, and the processor
 * capacity that is available for it.
 *
 * <p>The result is cached for a few milliseconds, because refused callers retry often while the backlog is long.
 */
final class Backlog {
    private static final long CACHE_VALID_MILLIS = 20;
    /** Share of the processor capacity that placements use while tasks wait. */
    private static final double USABLE_CPU_SHARE = 0.8;
    /** Mean time until a machine that was assigned to the pool runs tasks. */
    private static final long MACHINE_ARRIVAL_MILLIS = 1_500;
    /** Mean share of its work that a running task still has to do. */
    private static final double RUNNING_REMAINING_SHARE = 0.5;

    private static final Comparator<StepWork> BY_START = Comparator.comparingLong(StepWork::latestStartMillis);

    private final PoolState state;
    private final RunStatistics runStatistics;
    private final StartDeadlines startDeadlines;
    private final List<StepWork> stepWork = new ArrayList<>();
    private CpuCapacity cpuCapacity = new CpuCapacity(1, 0);
    private double totalWork;
    private double waitingWork;
    private TeamUsage teamUsage;
    private ResourceAmount waitingDemand = ResourceAmount.NONE;
    private long refreshedMillis = Long.MIN_VALUE / 2;

    Backlog(PoolState state, RunStatistics runStatistics, StartDeadlines startDeadlines) {
        this.state = state;
        this.runStatistics = runStatistics;
        this.startDeadlines = startDeadlines;
        this.teamUsage = TeamUsage.of(state);
    }

    /**
     * Returns the time in milliseconds that the whole backlog takes.
     */
    double waitMillis(Moment now) {
        refreshIfStale(now);
        return cpuCapacity.millisFor(totalWork);
    }

    /**
     * Returns by how many milliseconds the pool would miss the latest start of a step of an additional job, or of
     * existing work that is due after it; not positive if it would miss none.
     */
    double shortageMillis(JobState job, Moment now) {
        refreshIfStale(now);
        return shortageMillis(stepWork, stepWorkOf(job), cpuCapacity, now);
    }

    /**
     * Returns by how many milliseconds the step of an additional job with the least time to spare would miss its latest
     * start; negative if it would not.
     */
    double overrunMillis(JobState job, Moment now) {
        refreshIfStale(now);
        double precedingWork = 0;
        double maxOverrun = Double.NEGATIVE_INFINITY;
        int next = 0;
        for (StepWork step : stepWorkOf(job)) {
            while (next < stepWork.size() && stepWork.get(next).latestStartMillis < step.latestStartMillis) {
                precedingWork += stepWork.get(next).work;
                next++;
            }
            maxOverrun = Math.max(maxOverrun, overrunMillis(precedingWork, step, cpuCapacity, now));
            precedingWork += step.work;
        }
        return maxOverrun;
    }

    /**
     * Returns by how many milliseconds a team would miss the latest start of a step of an additional job, or of its
     * existing work that is due after it, with no more than its share of the pool; not positive if it would miss none.
     */
    double shareShortageMillis(JobState job, String team, Moment now) {
        refreshIfStale(now);
        List<StepWork> ownWork =
                stepWork.stream().filter(step -> step.team.equals(team)).toList();
        double guaranteedCpu = teamUsage.guaranteedCpu(team, teamUsage.sharesWith(job.spec));
        CpuCapacity ownCapacity = new CpuCapacity(Math.max(1, Math.min(cpuCapacity.current, guaranteedCpu)), 0);
        return shortageMillis(ownWork, stepWorkOf(job), ownCapacity, now);
    }

    /**
     * Returns what the teams use and wait for, with the waiting work of the jobs accepted since the last refresh.
     */
    TeamUsage teamUsage(Moment now) {
        refreshIfStale(now);
        return teamUsage;
    }

    private static double shortageMillis(
            List<StepWork> existingSteps, List<StepWork> newSteps, CpuCapacity capacity, Moment now) {
        double precedingWork = 0;
        double maxOverrun = 0;
        int nextNew = 0;
        for (StepWork step : existingSteps) {
            while (nextNew < newSteps.size() && newSteps.get(nextNew).latestStartMillis <= step.latestStartMillis) {
                maxOverrun = Math.max(maxOverrun, overrunMillis(precedingWork, newSteps.get(nextNew), capacity, now));
                precedingWork += newSteps.get(nextNew).work;
                nextNew++;
            }
            if (nextNew > 0 && step.latestStartMillis != Long.MAX_VALUE) {
                maxOverrun = Math.max(maxOverrun, overrunMillis(precedingWork, step, capacity, now));
            }
            precedingWork += step.work;
        }
        for (StepWork step : newSteps.subList(nextNew, newSteps.size())) {
            maxOverrun = Math.max(maxOverrun, overrunMillis(precedingWork, step, capacity, now));
            precedingWork += step.work;
        }
        return maxOverrun;
    }

    /**
     * Returns whether no task waits and all tasks of the steps without predecessors fit the free capacity.
     */
    boolean startsImmediately(JobState job, Moment now) {
        refreshIfStale(now);
        if (waitingWork > 0) {
            return false;
        }
        for (StepSpec step : job.spec.steps()) {
            if (step.after().isEmpty() && countFittingTasks(step, now) < step.count()) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns whether the free capacity holds all waiting tasks, and the job's tasks of the steps without predecessors.
     */
    boolean hasRoomFor(JobState job, Moment now) {
        refreshIfStale(now);
        ResourceAmount needed = waitingDemand;
        for (StepSpec step : job.spec.steps()) {
            if (step.after().isEmpty()) {
                ResourceAmount demand = step.reservedDemand();
                needed = needed.plus(demand.times(step.count()));
                long fitting = countFittingTasks(step, now);
                if (fitting < step.count() || demand.times(fitting).cpuMillis() < needed.cpuMillis()) {
                    return false;
                }
            }
        }
        return true;
    }

    /**
     * Returns the time in milliseconds that the tasks take that could start but wait for capacity.
     */
    double waitingMillis(Moment now) {
        refreshIfStale(now);
        return cpuCapacity.millisFor(waitingWork);
    }

    private long countFittingTasks(StepSpec step, Moment now) {
        long count = 0;
        for (PoolWorker worker : state.workers.values()) {
            if (worker.suits(step, now.steadyMillis())) {
                count += step.reservedDemand().timesIn(worker.freeResources());
            }
        }
        return count;
    }

    private static double overrunMillis(double precedingWork, StepWork step, CpuCapacity capacity, Moment now) {
        return capacity.millisFor(precedingWork) - (step.latestStartMillis - now.steadyMillis());
    }

    /**
     * Discards the cached result after a large change.
     */
    void invalidate() {
        refreshedMillis = Long.MIN_VALUE / 2;
    }

    /**
     * Adds the work of a job that was just accepted, unless it is long-running or scheduled.
     */
    void add(JobState job) {
        if (!job.spec.onDemand()) {
            return;
        }
        for (StepWork step : stepWorkOf(job)) {
            insert(step);
        }
        teamUsage.addWaiting(job.spec);
        waitingDemand = waitingDemand.plus(TeamUsage.initialDemand(job.spec));
    }

    private void insert(StepWork step) {
        int low = 0;
        int high = stepWork.size();
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (stepWork.get(middle).latestStartMillis <= step.latestStartMillis) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        stepWork.add(low, step);
        totalWork += step.work;
        waitingWork += step.work;
    }

    private List<StepWork> stepWorkOf(JobState job) {
        long[] latestStarts = startDeadlines.latestStartsMillis(job);
        List<StepWork> steps = new ArrayList<>();
        for (int i = 0; i < job.spec.steps().size(); i++) {
            StepSpec step = job.spec.steps().get(i);
            steps.add(new StepWork(latestStarts[i], step.count() * taskWork(job, step), teamOf(job)));
        }
        steps.sort(BY_START);
        return steps;
    }

    private static String teamOf(JobState job) {
        return job.spec.team().orElse("");
    }

    private double taskWork(JobState job, StepSpec step) {
        return (double) runStatistics.expectedMillis(job, step) * step.demand().cpuMillis();
    }

    private void refreshIfStale(Moment now) {
        if (now.steadyMillis() - refreshedMillis < CACHE_VALID_MILLIS) {
            return;
        }
        refreshedMillis = now.steadyMillis();
        stepWork.clear();
        waitingWork = 0;
        teamUsage = TeamUsage.of(state);
        waitingDemand = ResourceAmount.NONE;
        for (JobState job : state.openJobs.values()) {
            for (OccurrenceState occurrence : job.openOccurrences()) {
                addRemaining(occurrence, now);
            }
        }
        stepWork.sort(BY_START);
        totalWork = stepWork.stream().mapToDouble(StepWork::work).sum();
        cpuCapacity = computeCpuCapacity();
    }

    private void addRemaining(OccurrenceState occurrence, Moment now) {
        long[] latestStarts = startDeadlines.latestStartsMillis(occurrence, now);
        for (JobStepState step : occurrence.steps) {
            if (!step.ended() && !step.spec.bestEffort() && step.readyMillis != JobStepState.NOT_READY) {
                teamUsage.addWaiting(step);
                waitingDemand = waitingDemand.plus(step.waitingDemand());
            }
            if (!step.ended() && !step.spec.longRunning() && !step.spec.bestEffort()) {
                addRemaining(step, latestStarts[step.number], now);
            }
        }
    }

    /**
     * Adds the remaining work of a step. Running tasks come first, as they keep their capacity even if they are late;
     * waiting tasks that are late come after all work that can still meet its objective.
     */
    private void addRemaining(JobStepState step, long latestStartMillis, Moment now) {
        int runningTasks = 0;
        int waitingTasks = 0;
        for (JobTaskState task : step.tasks) {
            runningTasks += !task.done && !task.runs.isEmpty() ? 1 : 0;
            waitingTasks += !task.done && task.runs.isEmpty() ? 1 : 0;
        }
        double taskWork = taskWork(step.occurrence.job, step.spec);
        String team = teamOf(step.occurrence.job);
        if (runningTasks > 0) {
            stepWork.add(new StepWork(Long.MIN_VALUE, runningTasks * taskWork * RUNNING_REMAINING_SHARE, team));
        }
        if (waitingTasks > 0) {
            boolean late = latestStartMillis < now.steadyMillis();
            stepWork.add(new StepWork(late ? Long.MAX_VALUE : latestStartMillis, waitingTasks * taskWork, team));
            waitingWork += step.readyMillis == JobStepState.NOT_READY ? 0 : waitingTasks * taskWork;
        }
    }

    private CpuCapacity computeCpuCapacity() {
        long currentCpu = 0;
        long largestCpu = 0;
        for (PoolWorker worker : state.workers.values()) {
            largestCpu = Math.max(largestCpu, worker.registration.capacity().cpuMillis());
            if (worker.listed && !worker.ended && !worker.evacuating && !worker.registration.draining()) {
                currentCpu += worker.registration.capacity().cpuMillis();
            }
            for (Run run : worker.runs.values()) {
                currentCpu -= run.task.step.spec.longRunning() ? run.reserved().cpuMillis() : 0;
            }
        }
        double arriving = (double) state.arrivingMachines * largestCpu;
        return new CpuCapacity(Math.max(1, currentCpu * USABLE_CPU_SHARE), arriving * USABLE_CPU_SHARE);
    }

    /**
     * Work in thousandths of a core times milliseconds, the latest start with which its job meets its objective, and the
     * job's team, empty for none.
     */
    private record StepWork(long latestStartMillis, double work, String team) {}

    /**
     * Processor capacity in thousandths of a core: of the present workers, and of machines that are arriving.
     */
    private record CpuCapacity(double current, double arriving) {
        double millisFor(double work) {
            double millisAtCurrentCapacity = work / current;
            return millisAtCurrentCapacity <= MACHINE_ARRIVAL_MILLIS
                    ? millisAtCurrentCapacity
                    : (work + arriving * MACHINE_ARRIVAL_MILLIS) / (current + arriving);
        }
    }
}
