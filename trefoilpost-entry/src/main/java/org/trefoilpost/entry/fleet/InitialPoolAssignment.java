package org.trefoilpost.entry.fleet;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.trefoilpost.decision.inventory.RackInventory;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.RackName;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.worker.Worker;
import org.trefoilpost.model.worker.WorkerState;

/**
 * Decides which inventories need workers that no inventory has yet.
 */
final class InitialPoolAssignment {
    private InitialPoolAssignment() {}

    /**
     * Returns the inventories that are to be written, with the new workers in their initial pools.
     *
     * @param state  what is known of the fleet, not null
     * @return the inventories by rack, not null
     */
    static Map<RackName, RackInventory> inventoriesToWrite(FleetState state) {
        Map<RackName, RackInventory> due = new TreeMap<>();
        Set<WorkerId> known = inventoriedWorkers(state);
        for (Worker worker : state.listedWorkers().values()) {
            Optional<PoolName> pool = state.configuration().initialPool(worker.id(), worker.rack());
            if (pool.isPresent() && worker.state() != WorkerState.GONE && !known.contains(worker.id())) {
                RackInventory present = due.getOrDefault(worker.rack(), inventoryOf(state, worker));
                due.put(worker.rack(), present.withWorker(worker.id()).withPool(worker.id(), pool.get()));
            }
        }
        return due;
    }

    private static Set<WorkerId> inventoriedWorkers(FleetState state) {
        Set<WorkerId> known = new HashSet<>();
        state.documents()
                .inventories()
                .values()
                .forEach(rack -> known.addAll(rack.document().workers().keySet()));
        return known;
    }

    private static RackInventory inventoryOf(FleetState state, Worker worker) {
        return state.documents()
                .inventory(worker.rack())
                .map(Versioned::document)
                .orElseGet(() -> RackInventory.empty(worker.rack(), worker.dataCentre(), worker.region()));
    }
}
