package org.trefoilpost.decision.job;

import java.util.HashMap;
import java.util.Map;

/**
 * Computes how many machines a pool needs.
 */
final class PoolDemandCalculator {
    /** Share of a machine that placements use before further tasks no longer fit. */
    private static final double USABLE_MACHINE_SHARE = 0.85;

    private static final long REFUSED_DEMAND_WINDOW_MILLIS = 800;

    private final PoolState state;
    private final RefusedDemand refusedDemand = new RefusedDemand(REFUSED_DEMAND_WINDOW_MILLIS);
    private final ArrivalRate arrivalRate;

    PoolDemandCalculator(PoolState state, RunStatistics runStatistics) {
        this.state = state;
        this.arrivalRate = new ArrivalRate(runStatistics);
    }

    /**
     * Records a job that was submitted for the first time.
     */
    void jobSubmitted(JobState job, long nowMillis) {
        arrivalRate.jobSubmitted(job, nowMillis);
    }

    /**
     * Records a job that was refused.
     */
    void jobRefused(JobSpec job, long nowMillis) {
        refusedDemand.add(job, nowMillis);
    }

    /**
     * Returns the demand of the pool.
     */
    PoolDemand demand(Moment now) {
        Map<String, PoolDemand.WorkerUsage> workers = new HashMap<>();
        ResourceAmount total = waitingDemand(now).plus(refusedDemand.sum(now.steadyMillis()));
        ResourceAmount longRunning = ResourceAmount.NONE;
        ResourceAmount capacity = ResourceAmount.NONE;
        int listedWorkers = 0;
        for (PoolWorker worker : state.workers.values()) {
            boolean hasLongRunning = false;
            for (Run run : worker.runs.values()) {
                if (run.task.step.spec.longRunning()) {
                    hasLongRunning = true;
                    longRunning = longRunning.plus(run.reserved());
                }
            }
            total = total.plus(worker.usedResources);
            if (worker.listed) {
                capacity = capacity.plus(worker.registration.capacity());
                listedWorkers++;
            }
            workers.put(
                    worker.id,
                    new PoolDemand.WorkerUsage(
                            worker.usedResources.cpuMillis(),
                            hasLongRunning,
                            worker.fenced && WorkerEvacuator.isEmpty(worker),
                            worker.acceptsWork(now.steadyMillis())));
        }
        ResourceAmount sustained = longRunning.plus(arrivalRate.sustainedUse(now.steadyMillis()));
        double needed =
                Math.max(machines(total, capacity, listedWorkers), machines(sustained, capacity, listedWorkers));
        return new PoolDemand(Math.max(needed, machinesForTaskLimits()), workers);
    }

    private static double machines(ResourceAmount total, ResourceAmount capacity, int count) {
        if (count == 0 || capacity.cpuMillis() == 0 || capacity.memoryMb() == 0) {
            return total.cpuMillis() > 0 ? 1 : 0;
        }
        double cpuShare = (double) total.cpuMillis() / capacity.cpuMillis();
        double memoryShare = (double) total.memoryMb() / capacity.memoryMb();
        return Math.max(cpuShare, memoryShare) * count / USABLE_MACHINE_SHARE;
    }

    private ResourceAmount waitingDemand(Moment now) {
        ResourceAmount waiting = ResourceAmount.NONE;
        for (JobState job : state.openJobs.values()) {
            for (OccurrenceState occurrence : job.openOccurrences()) {
                for (JobStepState step : occurrence.steps) {
                    waiting = waiting.plus(waitingDemand(step));
                }
            }
        }
        return waiting;
    }

    private static ResourceAmount waitingDemand(JobStepState step) {
        if (step.readyMillis == JobStepState.NOT_READY || step.ended()) {
            return ResourceAmount.NONE;
        }
        int tasks = 0;
        for (JobTaskState task : step.tasks) {
            tasks += !task.done && task.runs.isEmpty() ? 1 : 0;
        }
        return step.spec.reservedDemand().times(tasks);
    }

    /**
     * Returns the number of machines needed by the step that its limit of tasks per worker spreads the widest.
     */
    private double machinesForTaskLimits() {
        double maxMachines = 0;
        for (JobState job : state.openJobs.values()) {
            for (OccurrenceState occurrence : job.openOccurrences()) {
                for (JobStepState step : occurrence.steps) {
                    int limit = step.spec.maxPerWorker();
                    if (limit > 0 && step.readyMillis != JobStepState.NOT_READY && !step.ended()) {
                        maxMachines =
                                Math.max(maxMachines, Math.ceil((double) (step.tasks.length - step.doneTasks) / limit));
                    }
                }
            }
        }
        return maxMachines;
    }
}
