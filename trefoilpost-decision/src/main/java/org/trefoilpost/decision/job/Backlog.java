package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The work of ordinary tasks that a pool has taken and still has to do, and the room that there is for it.
 *
 * <p>It is looked through anew only every few milliseconds, as callers who are refused come often when there is much of
 * it.
 */
final class Backlog {
    /** Time in milliseconds after which what was looked through is too old. */
    private static final long CACHE_VALID_MILLIS = 20;
    /** Share of a pool's processor time that placements reach while tasks wait. */
    private static final double USABLE_CPU_SHARE = 0.8;
    /** Time in milliseconds after which machines that are on their way run tasks, on average. */
    private static final long MACHINE_ARRIVAL_MILLIS = 1_500;
    /** The share of its work that a running task has still to do, on average. */
    private static final double RUNNING_REMAINING_SHARE = 0.5;

    private static final Comparator<StepWork> BY_START = Comparator.comparingLong(StepWork::latestStartMillis);

    private final PoolState state;
    private final RunStatistics runStatistics;
    private final StartDeadlines startDeadlines;
    private final List<StepWork> stepWork = new ArrayList<>();
    private CpuCapacity cpuCapacity = new CpuCapacity(1, 0);
    private double totalWork;
    private double waitingWork;
    private long refreshedMillis = Long.MIN_VALUE / 2;

    Backlog(PoolState state, RunStatistics health, StartDeadlines objectives) {
        this.state = state;
        this.runStatistics = health;
        this.startDeadlines = objectives;
    }

    /**
     * Returns how long all of the work takes, in milliseconds.
     */
    double waitMillis(Moment now) {
        refreshIfStale(now);
        return cpuCapacity.millisFor(totalWork);
    }

    /**
     * Returns by how many milliseconds the pool would miss the latest start of a step of another job, or of work that
     * starts after it; not positive if it would miss none.
     */
    double shortageMillis(JobState job, Moment now) {
        refreshIfStale(now);
        List<StepWork> added = stepWorkOf(job);
        double before = 0;
        double shortage = 0;
        int next = 0;
        for (StepWork piece : stepWork) {
            while (next < added.size() && added.get(next).latestStartMillis <= piece.latestStartMillis) {
                shortage = Math.max(shortage, overrunMillis(before, added.get(next), now));
                before += added.get(next).work;
                next++;
            }
            if (next > 0 && piece.latestStartMillis != Long.MAX_VALUE) {
                shortage = Math.max(shortage, overrunMillis(before, piece, now));
            }
            before += piece.work;
        }
        for (StepWork piece : added.subList(next, added.size())) {
            shortage = Math.max(shortage, overrunMillis(before, piece, now));
            before += piece.work;
        }
        return shortage;
    }

    /**
     * Returns whether nothing waits and all tasks of a job's first steps find room now.
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

    private long countFittingTasks(StepSpec step, Moment now) {
        long fit = 0;
        for (PoolWorker slot : state.workers.values()) {
            if (slot.suits(step, now.steadyMillis())) {
                fit += step.reservedDemand().timesIn(slot.freeResources());
            }
        }
        return fit;
    }

    private double overrunMillis(double before, StepWork piece, Moment now) {
        return cpuCapacity.millisFor(before) - (piece.latestStartMillis - now.steadyMillis());
    }

    /**
     * Forgets what was looked through, as something large has changed.
     */
    void invalidate() {
        refreshedMillis = Long.MIN_VALUE / 2;
    }

    /**
     * Adds the work of a job that was just taken.
     */
    void add(JobState job) {
        if (job.spec.longRunning() || job.spec.schedule().timed()) {
            return;
        }
        for (StepWork piece : stepWorkOf(job)) {
            insert(piece);
        }
    }

    private void insert(StepWork piece) {
        int from = 0;
        int to = stepWork.size();
        while (from < to) {
            int middle = (from + to) >>> 1;
            if (stepWork.get(middle).latestStartMillis <= piece.latestStartMillis) {
                from = middle + 1;
            } else {
                to = middle;
            }
        }
        stepWork.add(from, piece);
        totalWork += piece.work;
        waitingWork += piece.work;
    }

    private List<StepWork> stepWorkOf(JobState job) {
        long[] latest = startDeadlines.latestStartsMillis(job);
        List<StepWork> steps = new ArrayList<>();
        for (int i = 0; i < job.spec.steps().size(); i++) {
            StepSpec step = job.spec.steps().get(i);
            steps.add(new StepWork(latest[i], step.count() * taskWork(job, step)));
        }
        steps.sort(BY_START);
        return steps;
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
        long[] latest = startDeadlines.latestStartsMillis(occurrence, now);
        for (JobStepState step : occurrence.steps) {
            if (!step.ended() && !step.spec.longRunning() && !step.spec.bestEffort()) {
                addRemaining(step, latest[step.number], now);
            }
        }
    }

    /**
     * Adds what is left of a step: what runs holds its room whether it is in time or not, what waits and is late comes
     * after all that can be in time.
     */
    private void addRemaining(JobStepState step, long latestStartMillis, Moment now) {
        int running = 0;
        int open = 0;
        for (JobTaskState task : step.tasks) {
            running += !task.done && !task.runs.isEmpty() ? 1 : 0;
            open += !task.done && task.runs.isEmpty() ? 1 : 0;
        }
        double taskWork = taskWork(step.occurrence.job, step.spec);
        if (running > 0) {
            stepWork.add(new StepWork(Long.MIN_VALUE, running * taskWork * RUNNING_REMAINING_SHARE));
        }
        if (open > 0) {
            boolean late = latestStartMillis < now.steadyMillis();
            stepWork.add(new StepWork(late ? Long.MAX_VALUE : latestStartMillis, open * taskWork));
            waitingWork += step.readyMillis == JobStepState.NOT_READY ? 0 : open * taskWork;
        }
    }

    private CpuCapacity computeCpuCapacity() {
        long present = 0;
        long largest = 0;
        for (PoolWorker slot : state.workers.values()) {
            largest = Math.max(largest, slot.registration.capacity().cpuMillis());
            if (slot.listed && !slot.ended && !slot.evacuating && !slot.registration.draining()) {
                present += slot.registration.capacity().cpuMillis();
            }
            for (Run run : slot.runs.values()) {
                present -= run.task.step.spec.longRunning() ? run.reserved().cpuMillis() : 0;
            }
        }
        double arriving = (double) state.arrivingMachines * largest;
        return new CpuCapacity(Math.max(1, present * USABLE_CPU_SHARE), arriving * USABLE_CPU_SHARE);
    }

    /**
     * Work in thousandths of a core times milliseconds, and when it has to start for its job to be in time.
     */
    private record StepWork(long latestStartMillis, double work) {}

    /**
     * Processor shares in thousandths of a core: what there is, and what is on its way.
     */
    private record CpuCapacity(double current, double arriving) {
        double millisFor(double work) {
            double alone = work / current;
            return alone <= MACHINE_ARRIVAL_MILLIS
                    ? alone
                    : (work + arriving * MACHINE_ARRIVAL_MILLIS) / (current + arriving);
        }
    }
}
