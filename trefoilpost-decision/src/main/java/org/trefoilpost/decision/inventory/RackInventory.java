package org.trefoilpost.decision.inventory;

import java.util.Collections;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.trefoilpost.model.DataCentreName;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.RackName;
import org.trefoilpost.model.RegionName;
import org.trefoilpost.model.WorkerId;

/**
 * The workers of a rack, each with its assignment to at most one pool.
 *
 * <p>The inventory is stored as one document. A move changes the worker's assignment in it by one compare-and-swap, so
 * a worker can't be assigned to two pools. The version increases by one with each change.
 */
public final class RackInventory {
    /** The newest document format that can be read, which is also the one that is written. */
    public static final int FORMAT = 1;

    private final RackName rack;
    private final DataCentreName dataCentre;
    private final RegionName region;
    private final SortedMap<WorkerId, Assignment> workers;
    private final long version;

    private RackInventory(
            RackName rack,
            DataCentreName dataCentre,
            RegionName region,
            SortedMap<WorkerId, Assignment> workers,
            long version) {
        this.rack = Objects.requireNonNull(rack, "rack");
        this.dataCentre = Objects.requireNonNull(dataCentre, "dataCentre");
        this.region = Objects.requireNonNull(region, "region");
        this.workers = Collections.unmodifiableSortedMap(workers);
        this.version = version;
    }

    /**
     * Obtains the inventory of a rack without workers.
     *
     * @param rack  the rack, not null
     * @param dataCentre  the rack's data centre, not null
     * @param region  the rack's region, not null
     * @return the inventory at version 0, not null
     */
    public static RackInventory empty(RackName rack, DataCentreName dataCentre, RegionName region) {
        return new RackInventory(rack, dataCentre, region, new TreeMap<>(), 0);
    }

    /** Restores a decoded inventory at the rack, data centre and region of another inventory. */
    static RackInventory restore(RackInventory location, SortedMap<WorkerId, Assignment> workers, long version) {
        return new RackInventory(location.rack, location.dataCentre, location.region, new TreeMap<>(workers), version);
    }

    /**
     * Returns the rack.
     *
     * @return the rack, not null
     */
    public RackName rack() {
        return rack;
    }

    /**
     * Returns the rack's data centre.
     *
     * @return the data centre, not null
     */
    public DataCentreName dataCentre() {
        return dataCentre;
    }

    /**
     * Returns the rack's region.
     *
     * @return the region, not null
     */
    public RegionName region() {
        return region;
    }

    /**
     * Returns the workers and their assignments, sorted by name.
     *
     * @return the workers, unmodifiable, not null
     */
    public SortedMap<WorkerId, Assignment> workers() {
        return workers;
    }

    /**
     * Returns the version, which increases by one with each change.
     *
     * @return the version, not negative
     */
    public long version() {
        return version;
    }

    /**
     * Returns the assignment of a worker.
     *
     * @param worker  the worker, not null
     * @return the assignment, not null, empty if the worker isn't in the rack
     */
    public Optional<Assignment> assignment(WorkerId worker) {
        return Optional.ofNullable(workers.get(worker));
    }

    /**
     * Returns a copy to which a worker without a pool is added; this inventory if the worker is in the rack already.
     *
     * @param worker  the worker to add, not null
     * @return the inventory, not null
     */
    public RackInventory withWorker(WorkerId worker) {
        return workers.containsKey(worker) ? this : withAssignment(worker, Assignment.UNASSIGNED);
    }

    /**
     * Returns a copy in which a worker is permanently assigned to a pool, which ends a loan of it.
     *
     * @param worker  the worker, not null
     * @param pool  the pool, not null
     * @return the inventory, not null
     * @throws IllegalArgumentException if the worker isn't in the rack
     */
    public RackInventory withPool(WorkerId worker, PoolName pool) {
        return withChangedAssignment(worker, Assignment.of(pool));
    }

    /**
     * Returns a copy in which a worker is lent to a pool.
     *
     * <p>The lender is the worker's current pool or, if the worker is on loan already, its first lender. A loan to
     * the lender itself makes the assignment permanent.
     *
     * @param worker  the worker, not null
     * @param borrower  the pool that borrows the worker, not null
     * @return the inventory, not null
     * @throws IllegalArgumentException if the worker isn't in the rack or has no pool
     */
    public RackInventory withLoan(WorkerId worker, PoolName borrower) {
        Assignment current = requireAssignment(worker);
        PoolName lender = current.lender()
                .or(current::pool)
                .orElseThrow(() ->
                        new IllegalArgumentException("worker " + worker + " is unassigned, so no pool can lend it"));
        return withChangedAssignment(worker, Assignment.lent(borrower, lender));
    }

    private RackInventory withChangedAssignment(WorkerId worker, Assignment assignment) {
        return requireAssignment(worker).equals(assignment) ? this : withAssignment(worker, assignment);
    }

    private Assignment requireAssignment(WorkerId worker) {
        return assignment(worker)
                .orElseThrow(() -> new IllegalArgumentException("rack " + rack + " has no worker " + worker));
    }

    private RackInventory withAssignment(WorkerId worker, Assignment assignment) {
        SortedMap<WorkerId, Assignment> copy = new TreeMap<>(workers);
        copy.put(worker, assignment);
        return new RackInventory(rack, dataCentre, region, copy, version + 1);
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof RackInventory other
                && other.rack.equals(rack)
                && other.dataCentre.equals(dataCentre)
                && other.region.equals(region)
                && other.workers.equals(workers)
                && other.version == version;
    }

    @Override
    public int hashCode() {
        return Objects.hash(rack, version, workers);
    }

    /**
     * Returns the rack, the version and the workers.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return rack + "@" + version + " " + workers;
    }
}
