package org.trefoilpost.decision.job;

import java.util.HashMap;
import java.util.Map;

/**
 * Computes how many machines a pool needs.
 */
final class PoolDemandCalculator {
    private static final long REFUSED_DEMAND_WINDOW_MILLIS = 800;
    /**
     * The most machines for work at hand, as a multiple of those for the work that arrives. When demand rises, far more work
     * waits than arrives in the time of a task; by the time machines for all of it have come, it is done or given up.
     */
    private static final double MAX_BACKLOG_FACTOR = 1.3;

    private final PoolState state;
    private final PlacementAdvice advice;
    private final RefusedDemand refusedDemand = new RefusedDemand(REFUSED_DEMAND_WINDOW_MILLIS);
    private final ArrivalRate arrivalRate;

    PoolDemandCalculator(PoolState state, RunStatistics runStatistics, PlacementAdvice advice) {
        this.state = state;
        this.advice = advice;
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
        ResourceAmount used = ResourceAmount.NONE;
        ResourceAmount longRunning = ResourceAmount.NONE;
        PoolSize size = PoolSize.NONE;
        for (PoolWorker worker : state.workers.values()) {
            boolean hasLongRunning = false;
            for (Run run : worker.runs.values()) {
                if (run.task.step.spec.longRunning()) {
                    hasLongRunning = true;
                    longRunning = longRunning.plus(run.reserved());
                }
            }
            used = used.plus(worker.usedResources);
            if (worker.listed) {
                size = size.plusWorker(worker.registration.capacity());
            }
            workers.put(
                    worker.id,
                    new PoolDemand.WorkerUsage(
                            worker.usedResources.cpuMillis(),
                            hasLongRunning,
                            worker.fenced && WorkerEvacuator.isEmpty(worker),
                            worker.acceptsWork(now.steadyMillis())));
        }
        double needed = neededMachines(used, longRunning, size, now);
        int missing = advice.missingMachines();
        double advised = missing == 0 ? 0 : size.workers() + missing;
        return new PoolDemand(
                Math.max(needed, Math.max(advised, machinesForTaskLimits())), workers, advice.awaitedWorkers());
    }

    /**
     * Returns the number of machines needed for the work that arrives, and for a part of the work at hand beyond it.
     */
    private double neededMachines(ResourceAmount used, ResourceAmount longRunning, PoolSize size, Moment now) {
        WaitingDemand waiting = waitingDemand();
        double present = size.machinesFor(used.plus(waiting.total()).plus(refusedDemand.sum(now.steadyMillis())));
        ResourceAmount arriving = arrivalRate.sustainedUse(now.steadyMillis());
        if (arriving.equals(ResourceAmount.NONE)) {
            return present;
        }
        double sustained = size.machinesFor(longRunning.plus(arriving));
        double oneStepMore = size.machinesFor(used.plus(waiting.widestStep()));
        double limit = Math.max(sustained * MAX_BACKLOG_FACTOR, oneStepMore);
        return Math.max(sustained, Math.min(present, limit));
    }

    private WaitingDemand waitingDemand() {
        ResourceAmount total = ResourceAmount.NONE;
        ResourceAmount widestStep = ResourceAmount.NONE;
        for (JobState job : state.openJobs.values()) {
            for (OccurrenceState occurrence : job.openOccurrences()) {
                for (JobStepState step : occurrence.steps) {
                    ResourceAmount demand = waitingDemand(step);
                    total = total.plus(demand);
                    widestStep = demand.cpuMillis() > widestStep.cpuMillis() ? demand : widestStep;
                }
            }
        }
        return new WaitingDemand(total, widestStep);
    }

    private static ResourceAmount waitingDemand(JobStepState step) {
        if (step.readyMillis == JobStepState.NOT_READY || step.ended()) {
            return ResourceAmount.NONE;
        }
        return step.waitingDemand();
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

    /**
     * The resources that the ready tasks without a run ask for.
     *
     * @param widestStep  those of the step that asks for the most processors
     */
    private record WaitingDemand(ResourceAmount total, ResourceAmount widestStep) {}
}
