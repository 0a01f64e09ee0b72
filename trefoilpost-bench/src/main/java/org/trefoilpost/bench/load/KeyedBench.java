package org.trefoilpost.bench.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.trefoilpost.model.Endpoint;

/**
 * Counts the store calls of entries that take keyed requests, at several rates.
 *
 * <p>Arguments: the seed, the seconds of each rate, the entries, then the rates a second.
 */
public final class KeyedBench {
    private static final int WORKERS = 8;
    private static final int SLOTS = 64;
    private static final int HEAP_MIB = 96;
    private static final double WARM_UP_RATE = 50;
    private static final double WARM_UP_SECONDS = 10;
    private static final String CLAIMS = "trefoilpost/claims";
    private static final String[] DEFAULTS = {"1", "20", "3", "25", "50", "100", "200", "400"};
    private static final int FIRST_RATE = 3;

    private KeyedBench() {}

    /**
     * Runs the bench.
     *
     * @param args  the seed, seconds, entries and rates, all of them or none
     * @throws Exception if a program can't be started or stopped
     */
    public static void main(String[] args) throws Exception {
        String[] values = args.length > FIRST_RATE ? args : DEFAULTS;
        long seed = Long.parseLong(values[0]);
        double seconds = Double.parseDouble(values[1]);
        try (MeasuredFleet fleet = MeasuredFleet.start()) {
            fleet.serve(WORKERS, SLOTS);
            fleet.startEntries(Integer.parseInt(values[2]), HEAP_MIB);
            fleet.configure(WORKERS, 1);
            load(fleet, WARM_UP_RATE, WARM_UP_SECONDS, seed);
            System.out.println("seed " + seed + ", " + values[2] + " entries, " + seconds + " s a rate");
            System.out.println("| keyed/s | answered | other | p50 ms | p99 ms | claim writes/s | claim reads/s"
                    + " | claim bytes written KB/s | all writes/s | all calls/s | CPU ms a request |");
            System.out.println("|" + "---|".repeat(11));
            for (String rate : Arrays.copyOfRange(values, FIRST_RATE, values.length)) {
                measure(fleet, Double.parseDouble(rate), seconds, seed);
            }
        }
        System.exit(0);
    }

    private static void measure(MeasuredFleet fleet, double rate, double seconds, long seed) {
        List<EntryUsage> usages =
                fleet.entries().stream().map(MeasuredEntry::usage).toList();
        JsonNode before = fleet.counters();
        LoadReport report = load(fleet, rate, seconds, seed);
        JsonNode after = fleet.counters();
        double cpuMillis = 0;
        for (int i = 0; i < usages.size(); i++) {
            cpuMillis += fleet.entries().get(i).usage().cpuMillisSince(usages.get(i));
        }
        JsonNode claimsBefore = before.path("prefixes").path(CLAIMS);
        JsonNode claims = after.path("prefixes").path(CLAIMS);
        double elapsed = report.seconds();
        double writes = rate(before.path("total"), after.path("total"), "writes", elapsed);
        double reads = rate(before.path("total"), after.path("total"), "reads", elapsed);
        double watches = rate(before.path("total"), after.path("total"), "watches", elapsed);
        System.out.printf(
                Locale.ROOT,
                "| %.0f | %d | %d | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f | %.2f |%n",
                rate,
                report.count("answered"),
                report.total() - report.count("answered"),
                report.latencyMillis(50),
                report.latencyMillis(99),
                rate(claimsBefore, claims, "writes", elapsed),
                rate(claimsBefore, claims, "reads", elapsed),
                rate(claimsBefore, claims, "bytesIn", elapsed) / 1e3,
                writes,
                writes + reads + watches,
                cpuMillis / report.total());
    }

    private static double rate(JsonNode before, JsonNode after, String counter, double seconds) {
        return (after.path(counter).asDouble() - before.path(counter).asDouble()) / seconds;
    }

    private static LoadReport load(MeasuredFleet fleet, double perSecond, double length, long seed) {
        List<Endpoint> callers =
                fleet.entries().stream().map(MeasuredEntry::callers).toList();
        return LoadRun.run(new LoadSettings()
                .target(callers, "pool-0")
                .load(perSecond, length)
                .keyed(1, seed));
    }
}
