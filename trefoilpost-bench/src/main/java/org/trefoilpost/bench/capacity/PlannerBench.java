package org.trefoilpost.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import org.trefoilpost.decision.plan.PlanMeasures;
import org.trefoilpost.decision.planner.FleetCalendar;
import org.trefoilpost.decision.planner.FleetSnapshot;
import org.trefoilpost.decision.planner.GreedyStrategy;
import org.trefoilpost.decision.planner.LeastCostStrategy;
import org.trefoilpost.decision.planner.LowerBounds;
import org.trefoilpost.decision.planner.OneAtATimeStrategy;
import org.trefoilpost.decision.planner.RackAtATimeStrategy;
import org.trefoilpost.decision.planner.WaveDraft;
import org.trefoilpost.decision.planner.WaveStrategy;
import org.trefoilpost.model.PoolName;

/**
 * Prints what each strategy costs, as a table in Markdown.
 *
 * <p>Arguments: the first seed, 1 if absent, and the number of seeds for the small fleets, 100 if absent.
 */
public final class PlannerBench {
    private static final int LARGE_WORKERS = 25_000;
    private static final int LARGE_POOLS = 313;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double BYTES_PER_MIB = 1024 * 1024;

    private static final List<WaveStrategy> STRATEGIES = List.of(
            new OneAtATimeStrategy(),
            new RackAtATimeStrategy(),
            new GreedyStrategy(),
            LeastCostStrategy.withRequiredLoans(),
            LeastCostStrategy.withCostReducingLoans());

    private PlannerBench() {}

    /**
     * Runs the benchmark.
     *
     * @param args  the first seed and the number of seeds, not null
     */
    public static void main(String[] args) {
        long seed = args.length > 0 ? Long.parseLong(args[0]) : 1;
        int seeds = args.length > 1 ? Integer.parseInt(args[1]) : 100;
        print("| fleet | strategy | maintained | buffer cost, idle instance-min | roll-out, min | moves | weighted |"
                + " breaches | ms a plan |");
        print("|---|---|---:|---:|---:|---:|---:|---:|---:|");
        small("Rafiq", seed, seeds, true);
        small("Association", seed, seeds, false);
        large(seed);
    }

    private static void small(String name, long firstSeed, int seeds, boolean rafiq) {
        List<FleetSnapshot> all = new ArrayList<>();
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
            all.add(rafiq ? BenchFleet.rafiq(seed) : BenchFleet.association(seed));
        }
        List<FleetSnapshot> complete =
                all.stream().filter(PlannerBench::maintainedByAll).toList();
        rows(name + ", " + all.size() + " layouts", all);
        rows(name + ", the " + complete.size() + " layouts that all can maintain", complete);
    }

    private static boolean maintainedByAll(FleetSnapshot fleet) {
        Set<PoolName> pools = pools(fleet);
        int workers = pools.stream()
                .mapToInt(pool -> fleet.inventory().pool(pool).members().size())
                .sum();
        return STRATEGIES.stream()
                .allMatch(strategy -> strategy.draft(fleet, pools).maintained() == workers);
    }

    private static Set<PoolName> pools(FleetSnapshot fleet) {
        return new TreeSet<>(fleet.inventory().pools().keySet());
    }

    private static void rows(String name, List<FleetSnapshot> fleets) {
        for (WaveStrategy strategy : STRATEGIES) {
            Totals totals = new Totals();
            fleets.forEach(fleet -> totals.plan(strategy, fleet, pools(fleet)));
            totals.row(name, strategy.name(), fleets.size(), fleets.size());
        }
        Totals bounds = new Totals();
        fleets.forEach(fleet -> bounds.add(LowerBounds.of(fleet, pools(fleet)), fleet));
        bounds.row(name, "lower bound", fleets.size(), fleets.size());
    }

    private static void large(long seed) {
        FleetSnapshot fleet = BenchFleet.large(seed, LARGE_WORKERS, LARGE_POOLS);
        Totals bounds = new Totals();
        for (WaveStrategy strategy : STRATEGIES.subList(0, STRATEGIES.size() - 1)) {
            Totals totals = new Totals();
            bounds = new Totals();
            for (PoolName pool : fleet.inventory().pools().keySet()) {
                totals.plan(strategy, fleet, Set.of(pool));
                bounds.add(LowerBounds.of(fleet, Set.of(pool)), fleet);
            }
            totals.row("25,000 workers, sum of 313 pools", strategy.name(), 1, LARGE_POOLS);
        }
        bounds.row("25,000 workers, sum of 313 pools", "lower bound", 1, LARGE_POOLS);
        long start = System.nanoTime();
        FleetCalendar calendar = FleetCalendar.of(fleet, LeastCostStrategy.withRequiredLoans());
        double millis = (System.nanoTime() - start) / NANOS_PER_MILLI;
        double liveMib = liveBytes() / BYTES_PER_MIB;
        print("");
        print(String.format(
                Locale.ROOT,
                "calendar of %d pools: %s; %.0f ms; %.1f MiB live with the fleet",
                fleet.inventory().pools().size(),
                calendar,
                millis,
                liveMib));
    }

    private static long liveBytes() {
        System.gc();
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private static void print(String line) {
        System.out.println(line);
    }

    /**
     * The sums over several plans.
     */
    private static final class Totals {
        private double buffer;
        private double rollOut;
        private double moves;
        private double weighted;
        private long maintained;
        private int breaches;
        private long nanos;

        private void plan(WaveStrategy strategy, FleetSnapshot fleet, Set<PoolName> pools) {
            long start = System.nanoTime();
            WaveDraft draft = strategy.draft(fleet, pools);
            nanos += System.nanoTime() - start;
            add(draft.measures(), fleet);
            maintained += draft.maintained();
            breaches += BudgetCheck.breaches(fleet, draft.batches());
        }

        private void add(PlanMeasures measures, FleetSnapshot fleet) {
            buffer += measures.bufferCost();
            rollOut += measures.rollOutTime();
            moves += measures.moves();
            weighted += measures.weightedCost(fleet.weights());
        }

        private void row(String fleet, String strategy, int divisor, int plans) {
            print(String.format(
                    Locale.ROOT,
                    "| %s | %s | %.2f | %.1f | %.1f | %.2f | %.1f | %d | %.2f |",
                    fleet,
                    strategy,
                    (double) maintained / divisor,
                    buffer / divisor,
                    rollOut / divisor,
                    moves / divisor,
                    weighted / divisor,
                    breaches,
                    nanos / NANOS_PER_MILLI / plans));
        }
    }
}
