package org.trefoilpost.entry.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.trefoilpost.decision.inventory.InventoryView;
import org.trefoilpost.decision.inventory.WorkerHealth;
import org.trefoilpost.decision.ledger.BudgetFigures;
import org.trefoilpost.decision.planner.FleetSnapshot;
import org.trefoilpost.decision.wave.OutOfServiceWorkers;
import org.trefoilpost.decision.wave.WaveState;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.capacity.AvailabilityBudget;
import org.trefoilpost.model.capacity.FailureDomain;
import org.trefoilpost.model.configuration.Configuration;
import org.trefoilpost.model.worker.Worker;
import org.trefoilpost.model.worker.WorkerState;

/**
 * Everything that this entry knows of the fleet. The duty's thread owns it.
 */
final class FleetState {
    private final FleetDocuments documents = new FleetDocuments();
    private Map<WorkerId, Worker> listedWorkers = Map.of();
    private Set<WorkerId> ejected = Set.of();
    private Configuration configuration = Configuration.builder().build();
    private InventoryView inventory;
    private long inventoryChangeCount;

    FleetDocuments documents() {
        return documents;
    }

    Configuration configuration() {
        return configuration;
    }

    void configuration(Configuration newConfiguration) {
        this.configuration = newConfiguration;
    }

    /**
     * Takes in the list of instances and the workers that this entry has ejected.
     *
     * @param workers  the workers as listed, not null
     * @param newEjected  the ejected workers, not null
     * @return true if the list differs from the one before
     */
    boolean updateWorkers(List<Worker> workers, Set<WorkerId> newEjected) {
        Map<WorkerId, Worker> byId = new HashMap<>();
        workers.forEach(worker -> byId.merge(
                worker.id(), worker, (one, other) -> one.incarnation() >= other.incarnation() ? one : other));
        boolean listChanged = !byId.equals(listedWorkers);
        if (listChanged || !newEjected.equals(ejected)) {
            inventory = null;
        }
        listedWorkers = byId;
        ejected = newEjected;
        return listChanged;
    }

    Map<WorkerId, Worker> listedWorkers() {
        return listedWorkers;
    }

    Optional<Worker> worker(WorkerId id) {
        return Optional.ofNullable(listedWorkers.get(id));
    }

    /**
     * Returns the pools and their members, each worker's health counted from the worst of what is known of it.
     *
     * @return the view, not null
     */
    InventoryView inventory() {
        if (inventory == null || inventoryChangeCount != documents.changeCount()) {
            inventory = computeInventory();
            inventoryChangeCount = documents.changeCount();
        }
        return inventory;
    }

    /**
     * Returns the states of the confirmed plans.
     *
     * @return the states, not null
     */
    Collection<WaveState> plans() {
        return FleetDocuments.withoutRevisions(documents.plans()).values();
    }

    /**
     * Returns the workers that confirmed plans keep out of service.
     *
     * @return the workers, not null
     */
    OutOfServiceWorkers outOfService() {
        return OutOfServiceWorkers.of(plans());
    }

    private InventoryView computeInventory() {
        Set<WorkerId> unusable = new HashSet<>(ejected);
        unusable.addAll(outOfService().workers());
        Map<WorkerId, WorkerHealth> health = new HashMap<>();
        listedWorkers.forEach((id, worker) -> health.put(
                id, WorkerHealth.of(worker.state(), worker.state() != WorkerState.GONE, !unusable.contains(id))));
        return InventoryView.of(
                FleetDocuments.withoutRevisions(documents.inventories()).values(), health);
    }

    /**
     * Returns the workers of each pool, as the request path needs them.
     *
     * @return the workers by pool, not null
     */
    Map<PoolName, List<Worker>> members() {
        Map<PoolName, List<Worker>> members = new TreeMap<>();
        Set<WorkerId> taken = new HashSet<>();
        documents
                .inventories()
                .values()
                .forEach(rack -> rack.document().workers().forEach((id, assignment) -> {
                    Worker worker = listedWorkers.get(id);
                    boolean usable = worker != null && worker.state() != WorkerState.GONE;
                    if (usable && assignment.pool().isPresent() && taken.add(id)) {
                        members.computeIfAbsent(assignment.pool().get(), pool -> new ArrayList<>())
                                .add(worker);
                    }
                }));
        return members;
    }

    /**
     * Returns what plans are computed from.
     *
     * @return the snapshot, not null
     */
    FleetSnapshot snapshot() {
        Map<PoolName, AvailabilityBudget> budgets = new TreeMap<>();
        configuration.pools().forEach((name, settings) -> budgets.put(name, settings.budget()));
        return FleetSnapshot.builder(inventory(), budgets)
                .ledgers(FleetDocuments.withoutRevisions(documents.ledgers()))
                .weights(configuration.weights())
                .versions(
                        configuration.version(),
                        documents.planIndex().document().version())
                .build();
    }

    AvailabilityBudget budget(PoolName pool) {
        return configuration
                .pool(pool)
                .map(settings -> settings.budget())
                .orElse(AvailabilityBudget.of(0, FailureDomain.NONE));
    }

    BudgetFigures figures(PoolName pool) {
        return documents.ledger(pool).document().figures(inventory().pool(pool), budget(pool));
    }
}
