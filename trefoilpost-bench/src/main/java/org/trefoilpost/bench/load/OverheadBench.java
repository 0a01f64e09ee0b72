package org.trefoilpost.bench.load;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import org.trefoilpost.model.Endpoint;

/**
 * Compares calls straight to a worker with calls through one entry, in turns within one run.
 *
 * <p>Arguments: the seed, the rate a second, the seconds of a turn, the turns, and the share of keyed requests.
 */
public final class OverheadBench {
    private static final int SLOTS = 1_000;
    private static final int HEAP_MIB = 96;
    private static final double WARM_UP_SECONDS = 15;
    private static final double PERCENT_PER_MILLI_A_SECOND = 0.1;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final String POOL = "pool-0";

    private final PrintStream out = System.out;
    private final long seed;
    private final double rate;
    private final double seconds;
    private final double keyed;

    private OverheadBench(long seed, double rate, double seconds, double keyed) {
        this.seed = seed;
        this.rate = rate;
        this.seconds = seconds;
        this.keyed = keyed;
    }

    /**
     * Runs the bench.
     *
     * @param args  the seed, rate, seconds, turns and share of keyed requests, all optional
     * @throws Exception if a program can't be started or stopped
     */
    public static void main(String[] args) throws Exception {
        double[] values = {1, 500, 10, 3, 0};
        for (int i = 0; i < args.length; i++) {
            values[i] = Double.parseDouble(args[i]);
        }
        new OverheadBench((long) values[0], values[1], values[2], values[4]).run((int) values[3]);
        System.exit(0);
    }

    private void run(int turns) throws Exception {
        try (MeasuredFleet fleet = MeasuredFleet.start()) {
            Endpoint worker = fleet.serve(1, SLOTS);
            fleet.startEntries(1, HEAP_MIB);
            fleet.configure(1, 1);
            MeasuredEntry entry = fleet.entries().get(0);
            load(entry.callers(), POOL, rate, WARM_UP_SECONDS, keyed);
            load(worker, "", rate, WARM_UP_SECONDS, 0);
            out.printf(
                    Locale.ROOT,
                    "seed %d, %.0f requests/s, %.2f of them keyed, %.0f s a turn%n",
                    seed,
                    rate,
                    keyed,
                    seconds);
            out.println("| turn | direct p50 ms | direct p99 ms | entry p50 ms | entry p99 ms | added p50 | added p99"
                    + " | answered | not answered | CPU ms a request | requests/s a core |");
            out.println("|" + "---|".repeat(11));
            double idle = idleMillisPerSecond(entry);
            for (int turn = 1; turn <= turns; turn++) {
                turn(turn, worker, entry, idle);
            }
            out.printf(
                    Locale.ROOT,
                    "idle: %.2f %% of a core; store calls %s%n",
                    idle * PERCENT_PER_MILLI_A_SECOND,
                    fleet.counters().path("total"));
            double[] heap = entry.liveHeapMib();
            out.printf(
                    Locale.ROOT,
                    "after the load: RSS %.1f MiB, live heap %.2f MiB, of it own classes %.2f MiB%n",
                    entry.residentMib(),
                    heap[0],
                    heap[1]);
        }
    }

    private double idleMillisPerSecond(MeasuredEntry entry) {
        EntryUsage before = entry.usage();
        MeasuredFleet.sleep((long) (seconds * MILLIS_PER_SECOND));
        return entry.usage().cpuMillisSince(before) / seconds;
    }

    private void turn(int turn, Endpoint worker, MeasuredEntry entry, double idle) {
        LoadReport direct = load(worker, "", rate, seconds, 0);
        EntryUsage before = entry.usage();
        LoadReport through = load(entry.callers(), POOL, rate, seconds, keyed);
        double cpuMillis = entry.usage().cpuMillisSince(before) - idle * through.seconds();
        double perRequest = cpuMillis / through.total();
        out.printf(
                Locale.ROOT,
                "| %d | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f | %d | %d | %.3f | %.0f |%n",
                turn,
                direct.latencyMillis(50),
                direct.latencyMillis(99),
                through.latencyMillis(50),
                through.latencyMillis(99),
                through.latencyMillis(50) - direct.latencyMillis(50),
                through.latencyMillis(99) - direct.latencyMillis(99),
                through.count("answered"),
                through.total() - through.count("answered"),
                perRequest,
                MILLIS_PER_SECOND / perRequest);
        if (through.count("answered") < through.total()) {
            out.println(through.json());
        }
    }

    private LoadReport load(Endpoint target, String pool, double perSecond, double length, double share) {
        return LoadRun.run(new LoadSettings()
                .target(List.of(target), pool)
                .load(perSecond, length)
                .keyed(share, seed));
    }
}
