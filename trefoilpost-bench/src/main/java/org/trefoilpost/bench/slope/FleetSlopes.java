package org.trefoilpost.bench.slope;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.trefoilpost.decision.inventory.InventoryView;
import org.trefoilpost.decision.inventory.RackInventory;
import org.trefoilpost.decision.inventory.RackInventoryCodec;
import org.trefoilpost.decision.inventory.WorkerHealth;
import org.trefoilpost.decision.routing.PoolRouter;
import org.trefoilpost.decision.routing.RouteRequest;
import org.trefoilpost.decision.routing.RouterSettings;
import org.trefoilpost.decision.routing.TwoChoicesPolicy;
import org.trefoilpost.model.DataCentreName;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.RackName;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.capacity.AvailabilityBudget;
import org.trefoilpost.model.capacity.FailureDomain;
import org.trefoilpost.model.configuration.Configuration;
import org.trefoilpost.model.configuration.ConfigurationCodec;
import org.trefoilpost.model.configuration.PoolSettings;
import org.trefoilpost.model.worker.Worker;

/**
 * Processor time and memory of the inventory, of the routers and of the configuration against workers and pools.
 */
final class FleetSlopes {
    private static final int[] WORKERS = {40, 1_000, 5_000, 12_500, 25_000};
    private static final int[] POOLS = {5, 20, 80, 160, 313};
    private static final int WORKER_VISITS = 200_000;
    private static final int CHOICES = 100_000;
    private static final double KILO = 1_000;

    private final PrintStream out;
    private final long seed;

    FleetSlopes(PrintStream out, long seed) {
        this.out = out;
        this.seed = seed;
    }

    void print() {
        Series byWorkers = inventorySeries("Inventory against workers, 5 to 313 pools", "workers");
        for (int workers : WORKERS) {
            inventory(byWorkers, workers, workers, Math.max(5, Math.min(313, workers / 80)));
        }
        byWorkers.print(out);
        Series byPools = inventorySeries("Inventory of 25,000 workers against pools", "pools");
        for (int pools : POOLS) {
            inventory(byPools, pools, 25_000, pools);
        }
        byPools.print(out);
        routers();
        configuration();
    }

    private static Series inventorySeries(String title, String size) {
        return new Series(
                title,
                size,
                "documents KB",
                "racks KB live",
                "views KB live",
                "list KB live",
                "CPU µs to derive the views");
    }

    private void inventory(Series series, int size, int workers, int pools) {
        ModelFleet fleet = new ModelFleet(workers, pools);
        long documents = fleet.inventories().stream()
                .mapToLong(rack -> RackInventoryCodec.encode(rack).length)
                .sum();
        long racksLive = Usage.liveBytes(fleet::inventories);
        long listLive = Usage.liveBytes(fleet::listed);
        List<RackInventory> racks = fleet.inventories();
        Map<WorkerId, WorkerHealth> health = fleet.health();
        long viewsLive = Usage.liveBytes(() -> InventoryView.of(racks, health));
        int repeats = Math.max(3, WORKER_VISITS / workers);
        double micros = Usage.cpuMicros(repeats, () -> InventoryView.of(racks, health));
        series.add(size, documents / KILO, racksLive / KILO, viewsLive / KILO, listLive / KILO, micros);
    }

    private void routers() {
        Series series = new Series(
                "Router of one pool against its workers",
                "workers",
                "router KB live",
                "CPU µs to choose",
                "CPU µs to take in the list of members");
        for (int workers : WORKERS) {
            List<Worker> members = new ModelFleet(workers, 1).listed();
            long live = Usage.liveBytes(() -> router(members));
            PoolRouter router = router(members);
            RouteRequest request = RouteRequest.of(DataCentreName.of("centre-0"));
            double choose = Usage.cpuMicros(CHOICES, () -> router.choose(request, 1));
            double take =
                    Usage.cpuMicros(Math.max(3, WORKER_VISITS / workers), () -> router.replaceWorkers(members, 1));
            series.add(workers, live / KILO, choose, take);
        }
        series.print(out);
    }

    private PoolRouter router(List<Worker> members) {
        PoolRouter router =
                PoolRouter.of(RouterSettings.defaults(), new TwoChoicesPolicy(), new SplittableRandom(seed));
        router.replaceWorkers(members, 0);
        return router;
    }

    private void configuration() {
        Series series = new Series("Configuration against pools", "pools", "bytes", "KB live");
        for (int pools : new int[] {5, 20, 80, 160, 313, 600}) {
            long bytes = ConfigurationCodec.write(configuration(pools)).getBytes(StandardCharsets.UTF_8).length;
            series.add(pools, bytes, Usage.liveBytes(() -> configuration(pools)) / KILO);
        }
        series.print(out);
    }

    private static Configuration configuration(int pools) {
        Configuration.Builder builder = Configuration.builder();
        for (int pool = 0; pool < pools; pool++) {
            builder.pool(PoolSettings.builder(PoolName.of("pool-" + pool))
                    .budget(AvailabilityBudget.of(64, FailureDomain.RACK))
                    .initialRacks(Set.of(RackName.of("rack-" + 2 * pool), RackName.of("rack-" + (2 * pool + 1))))
                    .build());
        }
        return builder.build();
    }
}
