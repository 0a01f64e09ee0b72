package org.trefoilpost.bench.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Random;
import org.trefoilpost.decision.job.JobWorker;
import org.trefoilpost.decision.job.PoolCapacity;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.worker.Resources;

/**
 * Prints how much of an offered demand each placement rule places, and the time for a job, as a table in Markdown.
 *
 * <p>Arguments: the first seed, 1 if absent, and the number of seeds for the small fleets, 100 if absent.
 */
public final class JobBench {
    private static final int LARGE_WORKERS = 25_000;
    private static final int LARGE_ACCELERATORS = 34_000;
    private static final int ACCELERATORS_PER_WORKER = 4;
    private static final int CORES = 32;
    private static final int MEMORY_MB = 128 * 1_024;
    private static final int SLOTS = 8;
    private static final double OFFERED_SHARE = 1.1;
    private static final int PLACED_ON_LARGE_PER_WORKER = 1;
    private static final Resources URGENT = Resources.of(CORES / 2, MEMORY_MB / 2, 0, 1);

    private JobBench() {}

    /**
     * Runs the benchmark.
     *
     * @param args  the first seed and the number of seeds, not null
     */
    public static void main(String[] args) {
        long seed = args.length > 0 ? Long.parseLong(args[0]) : 1;
        int seeds = args.length > 1 ? Integer.parseInt(args[1]) : 100;
        print("| fleet | rule | cores placed, % | accelerators placed, % | urgent without preemption |");
        print("|---|---|---:|---:|---:|");
        for (PlacementRule rule : PlacementRule.values()) {
            fill("Rafiq, 40 workers", rule, 40, 32, seed, seeds);
        }
        for (PlacementRule rule : PlacementRule.values()) {
            fill("Association, 35 workers", rule, 35, 28, seed, seeds);
        }
        fill("25,000 workers, 34,000 accelerators", PlacementRule.TIGHTEST, LARGE_WORKERS, LARGE_ACCELERATORS, seed, 1);
        times(seed);
    }

    private static void fill(
            String fleet, PlacementRule rule, int workers, int accelerators, long firstSeed, int seeds) {
        double cores = 0;
        double acceleratorShare = 0;
        double urgent = 0;
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
            PoolCapacity capacity = fleet(workers, accelerators);
            List<Resources> offered = demand(new Random(seed), workers, accelerators);
            Resources placed = Resources.NONE;
            for (Resources need : offered) {
                if (place(rule, capacity, need)) {
                    placed = placed.plus(Resources.of(need.cores(), 0, need.accelerators(), 0));
                }
            }
            cores += (double) placed.cores() / (workers * CORES);
            acceleratorShare += (double) placed.accelerators() / accelerators;
            while (place(rule, capacity, URGENT)) {
                urgent++;
            }
        }
        print(String.format(
                Locale.ROOT,
                "| %s | %s | %.1f | %.1f | %.2f |",
                fleet,
                rule.name().toLowerCase(Locale.ROOT).replace('_', ' '),
                100 * cores / seeds,
                100 * acceleratorShare / seeds,
                urgent / seeds));
    }

    /** Prints the time for a job on a large fleet in units of the time on a small one, taken in the same run. */
    private static void times(long seed) {
        print("");
        print("| rule | time for a job on 25,000 workers, in units of that on 40 |");
        print("|---|---:|");
        for (PlacementRule rule : PlacementRule.values()) {
            nanosPerJob(rule, 40, 32, 500, seed);
            double small = nanosPerJob(rule, 40, 32, 500, seed);
            int jobs = rule == PlacementRule.TIGHTEST ? LARGE_WORKERS * PLACED_ON_LARGE_PER_WORKER : 500;
            double large = nanosPerJob(rule, LARGE_WORKERS, LARGE_ACCELERATORS, jobs, seed);
            print(String.format(
                    Locale.ROOT,
                    "| %s | %.1f |",
                    rule.name().toLowerCase(Locale.ROOT).replace('_', ' '),
                    large / small));
        }
    }

    private static double nanosPerJob(PlacementRule rule, int workers, int accelerators, int jobs, long seed) {
        long nanos = 0;
        int placed = 0;
        while (placed < jobs) {
            PoolCapacity capacity = fleet(workers, accelerators);
            List<Resources> offered = demand(new Random(seed + placed), workers, accelerators);
            int count = Math.min(jobs - placed, offered.size());
            long start = System.nanoTime();
            for (Resources need : offered.subList(0, count)) {
                place(rule, capacity, need);
            }
            nanos += System.nanoTime() - start;
            placed += count;
        }
        return (double) nanos / placed;
    }

    private static boolean place(PlacementRule rule, PoolCapacity capacity, Resources need) {
        Optional<JobWorker> worker = rule.choose(capacity, need);
        worker.ifPresent(chosen -> capacity.take(chosen.id(), need));
        return worker.isPresent();
    }

    private static PoolCapacity fleet(int workers, int accelerators) {
        List<JobWorker> pool = new ArrayList<>();
        int left = accelerators;
        for (int i = 0; i < workers; i++) {
            int own = i % 2 == 0 ? Math.min(left, ACCELERATORS_PER_WORKER) : 0;
            left -= own;
            pool.add(JobWorker.of(WorkerId.of("w" + i), 1, Resources.of(CORES, MEMORY_MB, own, SLOTS), true));
        }
        return PoolCapacity.of(pool);
    }

    /** Returns jobs that together ask for more cores than the fleet has, one in six with accelerators. */
    private static List<Resources> demand(Random random, int workers, int accelerators) {
        List<Resources> jobs = new ArrayList<>();
        long cores = 0;
        long used = 0;
        while (cores < (long) (workers * CORES * OFFERED_SHARE)) {
            boolean accelerated = random.nextInt(6) == 0 && used < accelerators;
            int size = accelerated ? 2 + random.nextInt(6) : 1 << random.nextInt(5);
            int memory = size * (1_024 + random.nextInt(5 * 1_024));
            int own = accelerated ? 1 << random.nextInt(3) : 0;
            jobs.add(Resources.of(size, memory, own, 1));
            cores += size;
            used += own;
        }
        return jobs;
    }

    private static void print(String line) {
        System.out.println(line);
    }
}
