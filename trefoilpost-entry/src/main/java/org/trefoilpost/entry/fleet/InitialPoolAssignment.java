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
 * Assigns the workers that no inventory lists yet to the initial pools of the configuration.
 */
final class InitialPoolAssignment {
    private InitialPoolAssignment() {}

    /**
     * Returns the rack inventories that have to be written, with the new workers added to their initial pools.
     *
     * @param state  the fleet as this entry knows it, not null
     * @return the changed inventories by rack, empty if there are no new workers, not null
     */
    static Map<RackName, RackInventory> inventoriesToWrite(FleetState state) {
        Map<RackName, RackInventory> toWrite = new TreeMap<>();
        Set<WorkerId> inventoried = inventoriedWorkers(state);
        for (Worker worker : state.listedWorkers().values()) {
            Optional<PoolName> pool = state.configuration().initialPool(worker.id(), worker.rack());
            if (pool.isPresent() && worker.state() != WorkerState.GONE && !inventoried.contains(worker.id())) {
                RackInventory inventory = toWrite.getOrDefault(worker.rack(), inventoryOf(state, worker));
                toWrite.put(worker.rack(), inventory.withWorker(worker.id()).withPool(worker.id(), pool.get()));
            }
        }
        return toWrite;
    }

    private static Set<WorkerId> inventoriedWorkers(FleetState state) {
        Set<WorkerId> inventoried = new HashSet<>();
        state.documents()
                .inventories()
                .values()
                .forEach(rack -> inventoried.addAll(rack.document().workers().keySet()));
        return inventoried;
    }

    private static RackInventory inventoryOf(FleetState state, Worker worker) {
        return state.documents()
                .inventory(worker.rack())
                .map(Versioned::document)
                .orElseGet(() -> RackInventory.empty(worker.rack(), worker.dataCentre(), worker.region()));
    }
}
