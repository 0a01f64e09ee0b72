package org.trefoilpost.decision.job;

import java.util.HashMap;
import java.util.Map;
import org.trefoilpost.model.worker.Resources;

/**
 * Learns by how much the declared sizes and run times of each kind of job are off, within bounds.
 */
public final class KindEstimates {
    private static final double WEIGHT = 0.2;
    private static final double MIN_SIZE_FACTOR = 0.5;
    private static final double MAX_SIZE_FACTOR = 2.0;
    private static final double MIN_RUN_FACTOR = 0.25;
    private static final double MAX_RUN_FACTOR = 4.0;

    private final Map<String, Double> cores = new HashMap<>();
    private final Map<String, Double> memory = new HashMap<>();
    private final Map<String, Double> runs = new HashMap<>();

    /**
     * Takes in what a task of a job uses. A reading of zero is one that lags behind the start, and is left out.
     *
     * @param spec  the job, not null
     * @param usage  what the task uses, not null
     */
    public void used(JobSpec spec, TaskUsage usage) {
        learn(cores, spec.kind(), usage.cores(), spec.resources().cores(), MIN_SIZE_FACTOR, MAX_SIZE_FACTOR);
        learn(memory, spec.kind(), usage.memoryMb(), spec.resources().memoryMb(), MIN_SIZE_FACTOR, MAX_SIZE_FACTOR);
    }

    /**
     * Takes in how long a job ran.
     *
     * @param spec  the job, not null
     * @param millis  the run time in milliseconds
     */
    public void ran(JobSpec spec, long millis) {
        learn(runs, spec.kind(), millis, spec.runMillis(), MIN_RUN_FACTOR, MAX_RUN_FACTOR);
    }

    /**
     * Returns the resources that a job is expected to need.
     *
     * @param spec  the job, not null
     * @return the corrected resources, not null
     */
    public Resources need(JobSpec spec) {
        Resources declared = spec.resources();
        return Resources.of(
                corrected(cores, spec.kind(), declared.cores()),
                corrected(memory, spec.kind(), declared.memoryMb()),
                declared.accelerators(),
                declared.slots());
    }

    /**
     * Returns the time that a job is expected to run.
     *
     * @param spec  the job, not null
     * @return the corrected time in milliseconds
     */
    public long runMillis(JobSpec spec) {
        return (long) Math.ceil(spec.runMillis() * runs.getOrDefault(spec.kind(), 1.0));
    }

    private static int corrected(Map<String, Double> factors, String kind, int declared) {
        return (int) Math.ceil(declared * factors.getOrDefault(kind, 1.0));
    }

    private static void learn(
            Map<String, Double> factors, String kind, double seen, double declared, double least, double most) {
        if (seen <= 0 || declared <= 0 || !Double.isFinite(seen)) {
            return;
        }
        double sample = Math.max(least, Math.min(most, seen / declared));
        double present = factors.getOrDefault(kind, 1.0);
        factors.put(kind, present + WEIGHT * (sample - present));
    }
}
