package org.trefoilpost.bench.capacity;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.trefoilpost.decision.inventory.InventoryView;
import org.trefoilpost.decision.inventory.RackInventory;
import org.trefoilpost.decision.inventory.WorkerHealth;
import org.trefoilpost.decision.planner.FleetSnapshot;
import org.trefoilpost.model.DataCentreName;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.RackName;
import org.trefoilpost.model.RegionName;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.capacity.AvailabilityBudget;
import org.trefoilpost.model.capacity.FailureDomain;
import org.trefoilpost.model.capacity.PlanMeasureWeights;

/**
 * Builds the fleets that the benchmarks plan for.
 *
 * <p>The workers are spread over the data centres in turn and fill racks of four in a seeded random order, as fleets do
 * that have grown and moved for years. Every pool keeps a rack in reserve.
 */
final class BenchFleet {
    static final int WORKERS_PER_RACK = 4;

    private final Random random;
    private final int dataCentres;
    private final Map<PoolName, Integer> sizes = new HashMap<>();
    private final Map<PoolName, AvailabilityBudget> budgets = new HashMap<>();

    private BenchFleet(long seed, int dataCentres) {
        this.random = new Random(seed);
        this.dataCentres = dataCentres;
    }

    static FleetSnapshot rafiq(long seed) {
        return new BenchFleet(seed, 4)
                .pool("pricing", 8, 5)
                .pool("matching", 8, 4)
                .pool("dock-desk", 8, 5)
                .pool("clearance", 8, 4)
                .pool("back-office", 8, 3)
                .snapshot(PlanMeasureWeights.of(1, 0.1, 0.1));
    }

    static FleetSnapshot association(long seed) {
        return new BenchFleet(seed, 3)
                .pool("finder", 7, 4)
                .pool("transcription", 9, 5)
                .pool("family-linkage", 6, 3)
                .pool("certified-extracts", 6, 3)
                .pool("member-desk", 7, 4)
                .snapshot(PlanMeasureWeights.of(0.1, 0.1, 10));
    }

    static FleetSnapshot large(long seed, int workers, int pools) {
        BenchFleet fleet = new BenchFleet(seed, 12);
        for (int pool = 0; pool < pools; pool++) {
            int size = workers / pools + (pool < workers % pools ? 1 : 0);
            fleet.pool("pool-" + pool, size, size * 8 / 10);
        }
        return fleet.snapshot(PlanMeasureWeights.of(1, 0.1, 0.1));
    }

    private BenchFleet pool(String name, int size, int floor) {
        PoolName pool = PoolName.of(name);
        sizes.put(pool, size);
        budgets.put(pool, AvailabilityBudget.of(floor, FailureDomain.RACK));
        return this;
    }

    private FleetSnapshot snapshot(PlanMeasureWeights weights) {
        List<List<WorkerId>> centres = new ArrayList<>();
        for (int centre = 0; centre < dataCentres; centre++) {
            centres.add(new ArrayList<>());
        }
        Map<WorkerId, PoolName> poolOf = new HashMap<>();
        int next = 0;
        for (PoolName pool : sizes.keySet().stream().sorted().toList()) {
            for (int i = 0; i < sizes.get(pool); i++) {
                WorkerId worker = WorkerId.of(pool + "-" + i);
                poolOf.put(worker, pool);
                centres.get(next++ % dataCentres).add(worker);
            }
        }
        List<RackInventory> racks = new ArrayList<>();
        for (int centre = 0; centre < dataCentres; centre++) {
            Collections.shuffle(centres.get(centre), random);
            fill(centre, centres.get(centre), poolOf, racks);
        }
        Map<WorkerId, WorkerHealth> health = new HashMap<>();
        poolOf.keySet().forEach(worker -> health.put(worker, WorkerHealth.HEALTHY));
        return FleetSnapshot.builder(InventoryView.of(racks, health), budgets)
                .weights(weights)
                .build();
    }

    private static void fill(
            int centre, List<WorkerId> workers, Map<WorkerId, PoolName> poolOf, List<RackInventory> racks) {
        for (int first = 0; first < workers.size(); first += WORKERS_PER_RACK) {
            RackName rack = RackName.of("d" + centre + "-r" + first / WORKERS_PER_RACK);
            RackInventory inventory =
                    RackInventory.empty(rack, DataCentreName.of("d" + centre), RegionName.of("region"));
            for (WorkerId worker : workers.subList(first, Math.min(workers.size(), first + WORKERS_PER_RACK))) {
                inventory = inventory.withWorker(worker).withPool(worker, poolOf.get(worker));
            }
            racks.add(inventory);
        }
    }
}
