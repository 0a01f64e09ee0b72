package org.trefoilpost.bench.slope;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.trefoilpost.decision.inventory.RackInventory;
import org.trefoilpost.decision.inventory.WorkerHealth;
import org.trefoilpost.model.DataCentreName;
import org.trefoilpost.model.Endpoint;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.RackName;
import org.trefoilpost.model.RegionName;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.worker.Resources;
import org.trefoilpost.model.worker.Worker;

/**
 * A fleet in racks of four over seven data centres and three regions, its workers dealt to the pools in turn.
 */
final class ModelFleet {
    private static final int PER_RACK = 4;
    private static final int DATA_CENTRES = 7;
    private static final int REGIONS = 3;

    private final int workers;
    private final int pools;

    /**
     * Creates a fleet.
     *
     * @param workers  the workers, positive
     * @param pools  the pools, positive
     */
    ModelFleet(int workers, int pools) {
        this.workers = workers;
        this.pools = pools;
    }

    /** Returns the inventory of each rack, as new objects. */
    List<RackInventory> inventories() {
        List<RackInventory> racks = new ArrayList<>();
        for (int first = 0; first < workers; first += PER_RACK) {
            int centre = first / PER_RACK % DATA_CENTRES;
            RackInventory rack = RackInventory.empty(rack(first), centre(centre), region(centre));
            for (int worker = first; worker < Math.min(workers, first + PER_RACK); worker++) {
                rack = rack.withWorker(id(worker)).withPool(id(worker), PoolName.of("pool-" + worker % pools));
            }
            racks.add(rack);
        }
        return racks;
    }

    /** Returns the listed workers, as new objects. */
    List<Worker> listed() {
        List<Worker> listed = new ArrayList<>();
        for (int worker = 0; worker < workers; worker++) {
            int centre = worker / PER_RACK % DATA_CENTRES;
            listed.add(Worker.builder(id(worker))
                    .rack(rack(worker))
                    .dataCentre(centre(centre))
                    .region(region(centre))
                    .endpoint(Endpoint.of("10.0.0.1", 8_080))
                    .resources(Resources.of(32, 131_072, 1, 8))
                    .maxConnections(64)
                    .build());
        }
        return listed;
    }

    /** Returns the health of each worker, all good. */
    Map<WorkerId, WorkerHealth> health() {
        Map<WorkerId, WorkerHealth> health = new HashMap<>();
        for (int worker = 0; worker < workers; worker++) {
            health.put(id(worker), WorkerHealth.HEALTHY);
        }
        return health;
    }

    private static WorkerId id(int worker) {
        return WorkerId.of("worker-" + worker);
    }

    private static RackName rack(int worker) {
        return RackName.of("rack-" + worker / PER_RACK);
    }

    private static DataCentreName centre(int centre) {
        return DataCentreName.of("centre-" + centre);
    }

    private static RegionName region(int centre) {
        return RegionName.of("region-" + centre % REGIONS);
    }
}
