package org.trefoilpost.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
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

/**
 * Builds small test fleets. A rack is a string that names the pool of each worker, or {@code -} for none, separated by
 * spaces.
 */
public final class Fleets {
    private Fleets() {}

    /** Returns racks r0, r1, … whose workers are named after the rack and their index in it, such as r0-w1. */
    public static List<RackInventory> racks(String... pools) {
        List<RackInventory> racks = new ArrayList<>();
        for (int rack = 0; rack < pools.length; rack++) {
            RackInventory inventory = RackInventory.empty(
                    RackName.of("r" + rack), DataCentreName.of("d" + rack % 2), RegionName.of("coast"));
            String[] names = pools[rack].split(" ");
            for (int i = 0; i < names.length; i++) {
                WorkerId worker = WorkerId.of("r" + rack + "-w" + i);
                inventory = inventory.withWorker(worker);
                inventory = names[i].equals("-") ? inventory : inventory.withPool(worker, PoolName.of(names[i]));
            }
            racks.add(inventory);
        }
        return racks;
    }

    /** Returns a view of racks in which the given workers are missing and all others are healthy. */
    public static InventoryView view(List<RackInventory> racks, String... failed) {
        Map<WorkerId, WorkerHealth> health = new HashMap<>();
        racks.forEach(rack -> rack.workers()
                .keySet()
                .forEach(worker -> health.put(
                        worker, Set.of(failed).contains(worker.text()) ? WorkerHealth.MISSING : WorkerHealth.HEALTHY)));
        return InventoryView.of(racks, health);
    }

    /** Returns a snapshot with the budgets of pools a, b and c that {@link #budgets} returns. */
    public static FleetSnapshot snapshot(InventoryView view, int floorA, int floorB, int floorC) {
        return FleetSnapshot.builder(view, budgets(floorA, floorB, floorC)).build();
    }

    /** Returns budgets for pools a, b and c with the given floors and one worker in reserve. */
    public static Map<PoolName, AvailabilityBudget> budgets(int floorA, int floorB, int floorC) {
        return Map.of(
                PoolName.of("a"), AvailabilityBudget.of(floorA, FailureDomain.WORKER),
                PoolName.of("b"), AvailabilityBudget.of(floorB, FailureDomain.WORKER),
                PoolName.of("c"), AvailabilityBudget.of(floorC, FailureDomain.WORKER));
    }
}
