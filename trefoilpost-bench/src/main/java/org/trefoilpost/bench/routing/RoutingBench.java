package org.trefoilpost.bench.routing;

import java.io.PrintStream;
import java.util.Locale;
import org.trefoilpost.model.request.RequestClass;

/**
 * Prints how routing policies compare, and whether the targets of routing hold.
 *
 * <p>Arguments: the seed and the seconds of virtual time of each run.
 */
public final class RoutingBench {
    private static final long DEFAULT_SEED = 1;
    private static final long DEFAULT_SECONDS = 60;
    private static final int[] ENTRY_COUNTS = {3, 6, 9};
    private static final int SMALL_POOL = 40;
    private static final int LARGE_POOL = 25_000;

    private final PrintStream out;
    private final long seed;
    private final long runMillis;

    private RoutingBench(PrintStream out, long seed, long runMillis) {
        this.out = out;
        this.seed = seed;
        this.runMillis = runMillis;
    }

    /**
     * Runs the bench.
     *
     * @param args  the seed and the seconds of virtual time, both optional
     */
    public static void main(String[] args) {
        long seed = args.length > 0 ? Long.parseLong(args[0]) : DEFAULT_SEED;
        long seconds = args.length > 1 ? Long.parseLong(args[1]) : DEFAULT_SECONDS;
        new RoutingBench(System.out, seed, seconds * 1_000).print();
    }

    private void print() {
        out.println("seed " + seed + ", " + runMillis / 1_000 + " s of virtual time a run");
        for (int entries : ENTRY_COUNTS) {
            for (Scenario scenario : Scenario.values()) {
                printScenario(scenario, entries);
            }
        }
        printTargets();
        printChoiceCost();
    }

    private void printScenario(Scenario scenario, int entries) {
        out.println();
        out.println("### " + scenario.label() + ", " + entries + " entries");
        out.println();
        out.println("| policy | goodput/s | rejected by workers | idle slots while calls wait | p50 ms | p99 ms"
                + " | p99.9 ms | attempts/request | may have run | refused |");
        out.println("|---|---|---|---|---|---|---|---|---|---|");
        for (PolicyKind kind : PolicyKind.values()) {
            ModelResult result = PoolModel.run(scenario, kind, entries, runMillis, seed);
            out.println(String.format(
                    Locale.ROOT,
                    "| %s | %.1f | %d | %.2f | %d | %d | %d | %.4f | %d | %s |",
                    kind.label(),
                    result.goodput(),
                    result.rejectedAttempts(),
                    result.idleWhileWaiting(),
                    result.latencyMillis(50),
                    result.latencyMillis(99),
                    result.latencyMillis(99.9),
                    result.attemptsPerRequest(),
                    result.uncertainRequests(),
                    refusals(result)));
        }
    }

    private static String refusals(ModelResult result) {
        StringBuilder text = new StringBuilder();
        result.refusals()
                .forEach((reason, count) -> text.append(text.length() == 0 ? "" : ", ")
                        .append(reason.code())
                        .append(' ')
                        .append(count));
        return text.length() == 0 ? "none" : text.toString();
    }

    private void printTargets() {
        out.println();
        out.println("### targets, two-choices");
        out.println();
        out.println("| entries | goodput at twice / at capacity | longest urgent start delay at twice, ms"
                + " | share of calls at the fail-fast worker after 5 s | most attempts/request |");
        out.println("|---|---|---|---|---|");
        for (int entries : ENTRY_COUNTS) {
            ModelResult capacity = run(Scenario.CAPACITY, entries);
            ModelResult twice = run(Scenario.TWICE, entries);
            ModelResult failFast = run(Scenario.FAIL_FAST, entries);
            double attempts = 0;
            for (Scenario scenario : Scenario.values()) {
                attempts = Math.max(attempts, run(scenario, entries).attemptsPerRequest());
            }
            out.println(String.format(
                    Locale.ROOT,
                    "| %d | %.3f | %d | %.4f | %.4f |",
                    entries,
                    twice.goodput() / capacity.goodput(),
                    twice.maxStartDelayMillis(RequestClass.URGENT),
                    failFast.failingShare(),
                    attempts));
        }
    }

    private ModelResult run(Scenario scenario, int entries) {
        return PoolModel.run(scenario, PolicyKind.TWO_CHOICES, entries, runMillis, seed);
    }

    private void printChoiceCost() {
        out.println();
        printChoiceCost("choice", ChoiceCost.nanos(false, SMALL_POOL, LARGE_POOL));
        printChoiceCost("choice, start and end", ChoiceCost.nanos(true, SMALL_POOL, LARGE_POOL));
    }

    private void printChoiceCost(String what, double[] nanos) {
        out.println(String.format(
                Locale.ROOT,
                "%s: %.0f ns at %d workers, %.0f ns at %d workers, ratio %.2f",
                what,
                nanos[0],
                SMALL_POOL,
                nanos[1],
                LARGE_POOL,
                nanos[1] / nanos[0]));
    }
}
