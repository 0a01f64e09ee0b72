package org.trefoilpost.decision.job.emulator;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.trefoilpost.decision.job.SubmitResult;

/**
 * Simulates a demand peak of a queue: for some seconds callers submit several times the work that the pool can do, and
 * retry refused jobs after the delay that the refusal names.
 */
public final class DemandPeakSimulation {
    private static final String QUEUE = "queue";
    private static final int WORKERS = 8;
    private static final double POOL_CORES = 16 * WORKERS;
    private static final long LOW_LOAD_MILLIS = 8_000;
    private static final long PEAK_MILLIS = 9_000;
    private static final long SETTLE_MILLIS = 40_000;
    private static final int MAX_SUBMISSIONS = 5;
    /** Error of estimated run times, as the standard deviation of their logarithm. */
    private static final double ESTIMATE_DEVIATION = 0.6;
    /** A job's time objective is its critical path multiplied by this factor, plus the allowance. */
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
     * Simulates one demand peak.
     *
     * @param seed  the seed of jobs and faults
     * @param peakLoad  the demand at the maximum of the peak, as a multiple of the pool's capacity
     * @return the result, not null
     */
    public static Result run(long seed, double peakLoad) {
        return new DemandPeakSimulation(seed, peakLoad).run();
    }

    private Result run() {
        double jobCoreSeconds = RandomJob.MEAN_CORE_SECONDS;
        double jobsPerMilli = POOL_CORES / jobCoreSeconds / 1_000;
        for (long at = 0; at < LOW_LOAD_MILLIS + PEAK_MILLIS; at++) {
            boolean peak = at >= LOW_LOAD_MILLIS;
            double height = Math.sin(Math.PI * (at - LOW_LOAD_MILLIS) / PEAK_MILLIS);
            if (random.nextDouble() < jobsPerMilli * (peak ? Math.max(0.1, peakLoad * height) : 0.3)) {
                Caller caller = new Caller(callers.size() + 1);
                callers.add(caller);
                time.schedule(at, caller::begin);
            }
        }
        time.runFor(LOW_LOAD_MILLIS + PEAK_MILLIS + SETTLE_MILLIS);
        double submitted = 0;
        double inTime = 0;
        double late = 0;
        double refused = 0;
        for (Caller caller : callers) {
            submitted += caller.job.work();
            long completionMillis = caller.completionMillis();
            inTime += completionMillis <= caller.objectiveMillis ? caller.job.work() : 0;
            late += completionMillis > caller.objectiveMillis && completionMillis < Long.MAX_VALUE
                    ? caller.job.work()
                    : 0;
            refused += caller.refused ? caller.job.work() : 0;
        }
        return new Result(
                achievableWork() / submitted,
                inTime / submitted,
                late / submitted,
                refused / submitted,
                String.join("\n", platform.checks().violations()));
    }

    /**
     * Returns the work that a perfectly packed pool could do if each caller gave up after a second, in thousandths of a
     * core times milliseconds.
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
                next.remainingWork = next.job.work();
                next = rest.hasNext() ? rest.next() : null;
            }
            double capacity = POOL_CORES * 1_000;
            while (!open.isEmpty() && capacity > 0) {
                Caller first = open.peek();
                double part = first.giveUpMillis() < at ? 0 : Math.min(capacity, first.remainingWork);
                first.remainingWork -= part;
                capacity -= part;
                done += part;
                if (first.remainingWork <= 0 || first.giveUpMillis() < at) {
                    open.remove();
                }
            }
        }
        return done;
    }

    /**
     * The outcome of the jobs, as shares of the submitted work.
     *
     * @param achievable  the share that a perfectly packed pool could do if each caller gave up after a second
     * @param inTime  the share that was completed within its time objective
     * @param late  the share that was completed after its time objective
     * @param refused  the share whose last submission was refused
     * @param violations  the violated invariants, a line each, empty if there are none, not null
     */
    public record Result(double achievable, double inTime, double late, double refused, String violations) {}

    /**
     * A caller with one job, who submits it again after each refusal, up to {@link #MAX_SUBMISSIONS} times in all.
     */
    private final class Caller {
        private final RandomJob job;
        private final long objectiveMillis;
        private double remainingWork;
        private long submittedMillis;
        private int submissions;
        private boolean refused;

        Caller(int number) {
            job = RandomJob.draw(number, QUEUE, ESTIMATE_DEVIATION, random);
            objectiveMillis = (long) (OBJECTIVE_FACTOR * job.criticalPathMillis()) + OBJECTIVE_ALLOWANCE_MILLIS;
        }

        void begin() {
            submittedMillis = time.nowMillis();
            submit();
        }

        private void submit() {
            submissions++;
            SubmitResult answer = platform.submitJob(job.spec(), job::durationMillis);
            refused = answer.kind() == SubmitResult.Kind.REFUSED;
            if (refused && submissions < MAX_SUBMISSIONS) {
                time.schedule(answer.retryAfterMillis(), this::submit);
            }
        }

        long giveUpMillis() {
            return submittedMillis + 1_000;
        }

        long completionMillis() {
            return platform.completedMillis(job.spec().id()).isPresent()
                    ? platform.completedMillis(job.spec().id()).getAsLong() - submittedMillis
                    : Long.MAX_VALUE;
        }
    }
}
