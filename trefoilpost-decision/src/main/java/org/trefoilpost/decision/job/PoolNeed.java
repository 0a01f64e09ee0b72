package org.trefoilpost.decision.job;

import java.util.HashMap;
import java.util.Map;

/**
 * Works out how many machines a pool's work would fill.
 */
final class PoolNeed {
    /** The share of a machine that placements fill before tasks no longer fit. */
    private static final double PACKING = 0.85;

    private final PoolState state;
    private final OfferedWork refused;

    PoolNeed(PoolState state, OfferedWork refused) {
        this.state = state;
        this.refused = refused;
    }

    /**
     * Returns what the pool has to do.
     */
    PoolLoad load(Moment now) {
        Map<String, PoolLoad.WorkerLoad> workers = new HashMap<>();
        Demand wanted = waiting(now).plus(refused.sum(now.steadyMillis()));
        Demand capacity = Demand.NONE;
        int counted = 0;
        for (WorkerSlot slot : state.slots.values()) {
            boolean lasting = false;
            for (Run run : slot.runs.values()) {
                lasting |= run.task.step.spec.longRunning();
            }
            wanted = wanted.plus(slot.used);
            if (slot.listed) {
                capacity = capacity.plus(slot.report.capacity());
                counted++;
            }
            workers.put(
                    slot.id,
                    new PoolLoad.WorkerLoad(
                            slot.used.cpuMillis(),
                            lasting,
                            slot.fenced && Evacuations.isEmpty(slot),
                            slot.acceptsWork(now.steadyMillis())));
        }
        return new PoolLoad(Math.max(machines(wanted, capacity, counted), spread()), workers);
    }

    private static double machines(Demand wanted, Demand capacity, int count) {
        if (count == 0 || capacity.cpuMillis() == 0 || capacity.memoryMb() == 0) {
            return wanted.cpuMillis() > 0 ? 1 : 0;
        }
        double cpu = (double) wanted.cpuMillis() / capacity.cpuMillis();
        double memory = (double) wanted.memoryMb() / capacity.memoryMb();
        return Math.max(cpu, memory) * count / PACKING;
    }

    private Demand waiting(Moment now) {
        Demand waiting = Demand.NONE;
        for (JobState job : state.openJobs.values()) {
            for (OccurrenceState occurrence : job.open()) {
                for (StepState step : occurrence.steps) {
                    waiting = waiting.plus(waiting(step));
                }
            }
        }
        return waiting;
    }

    private static Demand waiting(StepState step) {
        if (step.readyMillis == StepState.NOT_READY || step.ended()) {
            return Demand.NONE;
        }
        int tasks = 0;
        for (TaskState task : step.tasks) {
            tasks += !task.done && task.runs.isEmpty() ? 1 : 0;
        }
        return step.spec.reservedDemand().times(tasks);
    }

    /**
     * Returns how many machines the steps need that may put only so many tasks on each.
     */
    private double spread() {
        double most = 0;
        for (JobState job : state.openJobs.values()) {
            for (OccurrenceState occurrence : job.open()) {
                for (StepState step : occurrence.steps) {
                    int limit = step.spec.maxPerWorker();
                    if (limit > 0 && step.readyMillis != StepState.NOT_READY && !step.ended()) {
                        most = Math.max(most, Math.ceil((double) (step.tasks.length - step.done) / limit));
                    }
                }
            }
        }
        return most;
    }
}
