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
 * The workers of a rack, each with its one pool.
 *
 * <p>The rack is one document. A move changes one field of it and is written by one compare-and-swap, so a worker can't
 * be written into two pools. The version grows with each change.
 */
public final class RackInventory {
    /** The newest format of the document that this version reads and writes. */
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

    static RackInventory restore(RackInventory place, SortedMap<WorkerId, Assignment> workers, long version) {
        return new RackInventory(place.rack, place.dataCentre, place.region, new TreeMap<>(workers), version);
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
     * Returns the version, which grows with each change.
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
     * @return the assignment, not null, empty if the rack doesn't have the worker
     */
    public Optional<Assignment> assignment(WorkerId worker) {
        return Optional.ofNullable(workers.get(worker));
    }

    /**
     * Returns a copy that has a worker without a pool; the same inventory if the rack has the worker already.
     *
     * @param worker  the worker to adopt, not null
     * @return the inventory, not null
     */
    public RackInventory withWorker(WorkerId worker) {
        return workers.containsKey(worker) ? this : withAssignment(worker, Assignment.UNASSIGNED);
    }

    /**
     * Returns a copy in which a worker belongs to a pool for good; a loan ends by it.
     *
     * @param worker  the worker, not null
     * @param pool  the pool, not null
     * @return the inventory, not null
     * @throws IllegalArgumentException if the rack doesn't have the worker
     */
    public RackInventory withPool(WorkerId worker, PoolName pool) {
        return withChangedAssignment(worker, Assignment.of(pool));
    }

    /**
     * Returns a copy in which a worker belongs to a pool and its present pool or first lender gets it back later.
     *
     * @param worker  the worker, not null
     * @param borrower  the pool that borrows the worker, not null
     * @return the inventory, not null
     * @throws IllegalArgumentException if the rack doesn't have the worker or it has no pool
     */
    public RackInventory withLoan(WorkerId worker, PoolName borrower) {
        Assignment present = requireAssignment(worker);
        PoolName lender = present.lender()
                .or(present::pool)
                .orElseThrow(() -> new IllegalArgumentException("worker " + worker + " has no pool to lend it"));
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
