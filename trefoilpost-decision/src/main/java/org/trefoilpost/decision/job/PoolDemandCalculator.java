package org.trefoilpost.decision.job;

import java.util.HashMap;
import java.util.Map;

/**
 * Works out how many machines a pool's work would fill.
 */
final class PoolDemandCalculator {
    /** The share of a machine that placements fill before tasks no longer fit. */
    private static final double USABLE_MACHINE_SHARE = 0.85;

    private final PoolState state;
    private final RefusedDemand refusedDemand;

    PoolDemandCalculator(PoolState state, RefusedDemand refused) {
        this.state = state;
        this.refusedDemand = refused;
    }

    /**
     * Returns what the pool has to do.
     */
    PoolDemand demand(Moment now) {
        Map<String, PoolDemand.WorkerUsage> workers = new HashMap<>();
        ResourceAmount wanted = waitingDemand(now).plus(refusedDemand.sum(now.steadyMillis()));
        ResourceAmount capacity = ResourceAmount.NONE;
        int counted = 0;
        for (PoolWorker slot : state.workers.values()) {
            boolean lasting = false;
            for (Run run : slot.runs.values()) {
                lasting |= run.task.step.spec.longRunning();
            }
            wanted = wanted.plus(slot.usedResources);
            if (slot.listed) {
                capacity = capacity.plus(slot.registration.capacity());
                counted++;
            }
            workers.put(
                    slot.id,
                    new PoolDemand.WorkerUsage(
                            slot.usedResources.cpuMillis(),
                            lasting,
                            slot.fenced && WorkerEvacuator.isEmpty(slot),
                            slot.acceptsWork(now.steadyMillis())));
        }
        return new PoolDemand(Math.max(machines(wanted, capacity, counted), machinesForTaskLimits()), workers);
    }

    private static double machines(ResourceAmount wanted, ResourceAmount capacity, int count) {
        if (count == 0 || capacity.cpuMillis() == 0 || capacity.memoryMb() == 0) {
            return wanted.cpuMillis() > 0 ? 1 : 0;
        }
        double cpu = (double) wanted.cpuMillis() / capacity.cpuMillis();
        double memory = (double) wanted.memoryMb() / capacity.memoryMb();
        return Math.max(cpu, memory) * count / USABLE_MACHINE_SHARE;
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
     * Returns how many machines the steps need that may put only so many tasks on each.
     */
    private double machinesForTaskLimits() {
        double most = 0;
        for (JobState job : state.openJobs.values()) {
            for (OccurrenceState occurrence : job.openOccurrences()) {
                for (JobStepState step : occurrence.steps) {
                    int limit = step.spec.maxPerWorker();
                    if (limit > 0 && step.readyMillis != JobStepState.NOT_READY && !step.ended()) {
                        most = Math.max(most, Math.ceil((double) (step.tasks.length - step.doneTasks) / limit));
                    }
                }
            }
        }
        return most;
    }
}
