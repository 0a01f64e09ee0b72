package org.trefoilpost.decision.inventory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.RackName;
import org.trefoilpost.model.WorkerId;

/**
 * The pools as all rack inventories and the workers' health show them.
 *
 * <p>A worker that two racks claim counts in the rack whose name sorts first, as failed, and is reported as a conflict.
 */
public final class InventoryView {
    private final SortedMap<RackName, RackInventory> racks;
    private final SortedMap<PoolName, PoolView> pools;
    private final Map<WorkerId, RackName> rackOf;
    private final Set<WorkerId> unassignedWorkers;
    private final Set<WorkerId> conflictingWorkers;

    private InventoryView(Collection<RackInventory> inventories, Map<WorkerId, WorkerHealth> health) {
        this.racks = new TreeMap<>();
        this.rackOf = new HashMap<>();
        this.unassignedWorkers = new TreeSet<>();
        this.conflictingWorkers = new TreeSet<>();
        inventories.forEach(inventory -> racks.put(inventory.rack(), inventory));
        indexRacks();
        this.pools = buildPoolViews(health);
    }

    /**
     * Derives the view.
     *
     * @param inventories  the inventory of each rack, not null
     * @param health  the health of each worker, not null; a worker without one counts as missing
     * @return the view, not null
     */
    public static InventoryView of(Collection<RackInventory> inventories, Map<WorkerId, WorkerHealth> health) {
        return new InventoryView(inventories, health);
    }

    private void indexRacks() {
        for (RackInventory inventory : racks.values()) {
            for (WorkerId worker : inventory.workers().keySet()) {
                if (rackOf.putIfAbsent(worker, inventory.rack()) != null) {
                    conflictingWorkers.add(worker);
                }
            }
        }
    }

    private SortedMap<PoolName, PoolView> buildPoolViews(Map<WorkerId, WorkerHealth> health) {
        Map<RackName, Long> versions = new HashMap<>();
        Map<PoolName, List<PoolMember>> members = new HashMap<>();
        for (RackInventory inventory : racks.values()) {
            versions.put(inventory.rack(), inventory.version());
            inventory.workers().forEach((worker, assignment) -> {
                if (!rackOf.get(worker).equals(inventory.rack())) {
                    return;
                }
                if (assignment.pool().isEmpty()) {
                    unassignedWorkers.add(worker);
                    return;
                }
                boolean usable = !conflictingWorkers.contains(worker)
                        && health.getOrDefault(worker, WorkerHealth.MISSING).usable();
                members.computeIfAbsent(assignment.pool().get(), name -> new ArrayList<>())
                        .add(PoolMember.of(
                                worker, inventory.rack(), inventory.dataCentre(), usable, assignment.lender()));
            });
        }
        SortedMap<PoolName, PoolView> views = new TreeMap<>();
        members.forEach((pool, list) -> views.put(pool, PoolView.of(pool, list, versions)));
        return views;
    }

    /**
     * Returns the pools that have a member, sorted by name.
     *
     * @return the pools, unmodifiable, not null
     */
    public SortedMap<PoolName, PoolView> pools() {
        return Collections.unmodifiableSortedMap(pools);
    }

    /**
     * Returns the view of a pool.
     *
     * @param pool  the pool, not null
     * @return the view, not null, without members if the pool has none
     */
    public PoolView pool(PoolName pool) {
        PoolView view = pools.get(pool);
        return view != null ? view : PoolView.of(pool, List.of(), Map.of());
    }

    /**
     * Returns the inventories, sorted by rack.
     *
     * @return the inventories, unmodifiable, not null
     */
    public SortedMap<RackName, RackInventory> racks() {
        return Collections.unmodifiableSortedMap(racks);
    }

    /**
     * Returns the rack of a worker.
     *
     * @param worker  the worker, not null
     * @return the rack, not null, empty if no rack has the worker
     */
    public Optional<RackName> rackOf(WorkerId worker) {
        return Optional.ofNullable(rackOf.get(worker));
    }

    /**
     * Returns the pool of a worker.
     *
     * @param worker  the worker, not null
     * @return the pool, not null, empty if the worker isn't known or unassigned
     */
    public Optional<PoolName> poolOf(WorkerId worker) {
        return rackOf(worker)
                .flatMap(rack -> racks.get(rack).assignment(worker))
                .flatMap(Assignment::pool);
    }

    /**
     * Returns the workers without a pool.
     *
     * @return the workers, unmodifiable, not null
     */
    public Set<WorkerId> unassignedWorkers() {
        return Collections.unmodifiableSet(unassignedWorkers);
    }

    /**
     * Returns the workers that more than one rack claims.
     *
     * @return the workers, unmodifiable, not null
     */
    public Set<WorkerId> conflictingWorkers() {
        return Collections.unmodifiableSet(conflictingWorkers);
    }
}
