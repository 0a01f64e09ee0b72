package org.trefoilpost.decision.job.emulator;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.trefoilpost.decision.job.JobSpec;
import org.trefoilpost.decision.job.ResourceAmount;
import org.trefoilpost.decision.job.StepSpec;
import org.trefoilpost.decision.job.SubmitResult;
import org.trefoilpost.decision.job.TaskId;

/**
 * Replays a queue whose turn has come: for some seconds callers ask for several times what the pool can do, and come
 * back when told to.
 */
public final class DemandPeakSimulation {
    private static final String QUEUE = "queue";
    private static final int WORKERS = 8;
    private static final double POOL_CORES = 16 * WORKERS;
    private static final long LOW_LOAD_MILLIS = 8_000;
    private static final long PEAK_MILLIS = 9_000;
    private static final long SETTLE_MILLIS = 40_000;
    private static final int MAX_SUBMISSIONS = 5;
    private static final double MEAN_TASKS = 6;
    private static final double MEAN_CORES = 1.8;
    private static final double MEAN_SECONDS = 0.8;
    private static final double MEAN_STEPS = 1.6;
    /** How much declared run times are off, as the deviation of their logarithm. */
    private static final double ESTIMATE_DEVIATION = 0.6;
    /** How much the tasks of a step differ. */
    private static final double TASK_TIME_DEVIATION = 0.3;

    private static final double OBJECTIVE_FACTOR = 2.0;
    private static final long OBJECTIVE_ALLOWANCE_MILLIS = 1_000;

    private final EmulatedPlatform platform;
    private final VirtualTime time;
    private final Random random;
    private final double peakLoad;
    private final List<Caller> callers = new ArrayList<>();

    private DemandPeakSimulation(long seed, double peakLoad) {
        this.platform = new EmulatedPlatform(seed, WORKERS);
        this.time = platform.time();
        this.random = new Random(seed);
        this.peakLoad = peakLoad;
        platform.livingWorkers().forEach(worker -> worker.failuresPerThousand(2));
    }

    /**
     * Plays one turn.
     *
     * @param seed  the seed
     * @param peakLoad  what callers ask for at the height of the turn, in shares of what the pool can do
     * @return what the callers got, not null
     */
    public static Result run(long seed, double peakLoad) {
        return new DemandPeakSimulation(seed, peakLoad).run();
    }

    private Result run() {
        double jobCoreSeconds = MEAN_STEPS * MEAN_TASKS * MEAN_CORES * MEAN_SECONDS;
        double jobsPerMilli = POOL_CORES / jobCoreSeconds / 1_000;
        for (long at = 0; at < LOW_LOAD_MILLIS + PEAK_MILLIS; at++) {
            boolean turn = at >= LOW_LOAD_MILLIS;
            double height = Math.sin(Math.PI * (at - LOW_LOAD_MILLIS) / PEAK_MILLIS);
            if (random.nextDouble() < jobsPerMilli * (turn ? Math.max(0.1, peakLoad * height) : 0.3)) {
                Caller caller = new Caller(callers.size() + 1);
                callers.add(caller);
                time.schedule(at, caller::begin);
            }
        }
        time.runFor(LOW_LOAD_MILLIS + PEAK_MILLIS + SETTLE_MILLIS);
        double asked = 0;
        double inTime = 0;
        double late = 0;
        double refused = 0;
        for (Caller caller : callers) {
            asked += caller.work;
            long took = caller.completionMillis();
            inTime += took <= caller.objectiveMillis ? caller.work : 0;
            late += took > caller.objectiveMillis && took < Long.MAX_VALUE ? caller.work : 0;
            refused += caller.refused ? caller.work : 0;
        }
        return new Result(
                achievableWork() / asked,
                inTime / asked,
                late / asked,
                refused / asked,
                String.join("\n", platform.checks().violations()));
    }

    /**
     * Returns how much of the work could be done if all of it fitted together without gaps, and nobody waited for longer
     * than a second.
     */
    private double achievableWork() {
        double done = 0;
        long end = callers.get(callers.size() - 1).submittedMillis + SETTLE_MILLIS;
        PriorityQueue<Caller> open = new PriorityQueue<>(Comparator.comparingLong(Caller::giveUpMillis));
        Iterator<Caller> rest = callers.iterator();
        Caller next = rest.next();
        for (long at = next.submittedMillis; at < end; at++) {
            while (next != null && next.submittedMillis <= at) {
                open.add(next);
                next.remainingWork = next.work;
                next = rest.hasNext() ? rest.next() : null;
            }
            double room = POOL_CORES * 1_000;
            while (!open.isEmpty() && room > 0) {
                Caller first = open.peek();
                double part = first.giveUpMillis() < at ? 0 : Math.min(room, first.remainingWork);
                first.remainingWork -= part;
                room -= part;
                done += part;
                if (first.remainingWork <= 0 || first.giveUpMillis() < at) {
                    open.remove();
                }
            }
        }
        return done;
    }

    private double logNormal(double mean, double deviation) {
        return mean * Math.exp(random.nextGaussian() * deviation - deviation * deviation / 2);
    }

    /**
     * What the callers got, in shares of the work that they asked for.
     *
     * @param withoutWaiting  the share that a perfectly packed pool could do if nobody waited for longer than a second
     * @param inTime  the share that was completed in time
     * @param late  the share that was completed late
     * @param refused  the share that was refused to the last
     * @param faults  what must not happen and did, a line each, not null
     */
    public record Result(double achievable, double inTime, double late, double refused, String violations) {}

    /**
     * A caller with one job, who comes back with it when told to.
     */
    private final class Caller {
        private final JobSpec spec;
        private final long[][] taskMillis;
        private final long objectiveMillis;
        private double work;
        private double remainingWork;
        private long submittedMillis;
        private int submissions;
        private boolean refused;

        Caller(int number) {
            int steps = 1 + (random.nextDouble() < MEAN_STEPS - 1 ? 1 : 0);
            taskMillis = new long[steps][];
            List<StepSpec> specs = new ArrayList<>();
            long chain = 0;
            for (int step = 0; step < steps; step++) {
                int tasks = (int) Math.max(1, Math.min(24, logNormal(MEAN_TASKS, 0.6)));
                int cpuMillis = (int) Math.min(5_300, logNormal(MEAN_CORES * 1_000, 0.45));
                double meanMillis = Math.min(2_000, logNormal(MEAN_SECONDS * 1_000, 0.5));
                taskMillis[step] = new long[tasks];
                long longest = 0;
                for (int task = 0; task < tasks; task++) {
                    taskMillis[step][task] = (long) Math.max(50, logNormal(meanMillis, TASK_TIME_DEVIATION));
                    longest = Math.max(longest, taskMillis[step][task]);
                    work += taskMillis[step][task] * (double) cpuMillis;
                }
                chain += longest;
                specs.add(StepSpec.builder()
                        .tasks(tasks, new ResourceAmount(cpuMillis, 256, 0))
                        .estimateMillis((long) Math.max(1, logNormal(meanMillis, ESTIMATE_DEVIATION)))
                        .after(step == 0 ? List.of() : List.of(step - 1))
                        .build());
            }
            objectiveMillis = (long) (OBJECTIVE_FACTOR * chain) + OBJECTIVE_ALLOWANCE_MILLIS;
            spec = new JobSpec(String.format("%016x", number), QUEUE, "text", specs, JobSpec.Schedule.ONCE);
        }

        void begin() {
            submittedMillis = time.nowMillis();
            submit();
        }

        private void submit() {
            submissions++;
            SubmitResult answer = platform.submitJob(spec, this::workMillis);
            refused = answer.kind() == SubmitResult.Kind.REFUSED;
            if (refused && submissions < MAX_SUBMISSIONS) {
                time.schedule(answer.retryAfterMillis(), this::submit);
            }
        }

        private long workMillis(TaskId task) {
            return taskMillis[task.step()][task.index()];
        }

        long giveUpMillis() {
            return submittedMillis + 1_000;
        }

        long completionMillis() {
            return platform.completedMillis(spec.id()).isPresent()
                    ? platform.completedMillis(spec.id()).getAsLong() - submittedMillis
                    : Long.MAX_VALUE;
        }
    }
}
