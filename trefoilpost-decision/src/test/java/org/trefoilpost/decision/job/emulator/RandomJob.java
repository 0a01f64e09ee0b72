package org.trefoilpost.decision.job.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.trefoilpost.decision.job.JobSpec;
import org.trefoilpost.decision.job.ResourceAmount;
import org.trefoilpost.decision.job.StepSpec;
import org.trefoilpost.decision.job.TaskId;

/**
 * A job of short steps, one after the other, with the time that each of its tasks takes.
 *
 * @param spec  the job as its caller submits it
 * @param taskMillis  the duration of each task, by step and index
 * @param work  the work of all tasks, in thousandths of a core times milliseconds
 * @param criticalPathMillis  the sum of the longest task of each step
 */
record RandomJob(JobSpec spec, long[][] taskMillis, double work, long criticalPathMillis) {
    private static final double MEAN_TASKS = 6;
    private static final double MEAN_CORES = 1.8;
    private static final double MEAN_SECONDS = 0.8;
    private static final double MEAN_STEPS = 1.6;
    /** Difference of run times within a step, as the standard deviation of their logarithm. */
    private static final double TASK_TIME_DEVIATION = 0.3;

    /** The mean work of a job, in core-seconds. */
    static final double MEAN_CORE_SECONDS = MEAN_STEPS * MEAN_TASKS * MEAN_CORES * MEAN_SECONDS;

    /**
     * Draws a job.
     *
     * @param number  the number that becomes the job's identifier
     * @param queue  the job's queue
     * @param estimateDeviation  the error of estimated run times, as the standard deviation of their logarithm
     * @param random  the source of all draws
     */
    static RandomJob draw(int number, String queue, double estimateDeviation, Random random) {
        int steps = 1 + (random.nextDouble() < MEAN_STEPS - 1 ? 1 : 0);
        long[][] taskMillis = new long[steps][];
        List<StepSpec> specs = new ArrayList<>();
        double work = 0;
        long criticalPathMillis = 0;
        for (int step = 0; step < steps; step++) {
            int tasks = (int) Math.max(1, Math.min(24, logNormal(MEAN_TASKS, 0.6, random)));
            int cpuMillis = (int) Math.min(5_300, logNormal(MEAN_CORES * 1_000, 0.45, random));
            double meanMillis = Math.min(2_000, logNormal(MEAN_SECONDS * 1_000, 0.5, random));
            taskMillis[step] = new long[tasks];
            long longest = 0;
            for (int task = 0; task < tasks; task++) {
                taskMillis[step][task] = (long) Math.max(50, logNormal(meanMillis, TASK_TIME_DEVIATION, random));
                longest = Math.max(longest, taskMillis[step][task]);
                work += taskMillis[step][task] * (double) cpuMillis;
            }
            criticalPathMillis += longest;
            specs.add(StepSpec.builder()
                    .tasks(tasks, new ResourceAmount(cpuMillis, 256, 0))
                    .estimateMillis((long) Math.max(1, logNormal(meanMillis, estimateDeviation, random)))
                    .after(step == 0 ? List.of() : List.of(step - 1))
                    .build());
        }
        JobSpec spec = new JobSpec(String.format("%016x", number), queue, "text", specs, JobSpec.Schedule.ONCE);
        return new RandomJob(spec, taskMillis, work, criticalPathMillis);
    }

    private static double logNormal(double mean, double deviation, Random random) {
        return mean * Math.exp(random.nextGaussian() * deviation - deviation * deviation / 2);
    }

    /**
     * Returns a copy of this job that belongs to a team.
     */
    RandomJob ofTeam(String team) {
        return new RandomJob(spec.withTeam(Optional.of(team)), taskMillis, work, criticalPathMillis);
    }

    long durationMillis(TaskId task) {
        return taskMillis[task.step()][task.index()];
    }
}
