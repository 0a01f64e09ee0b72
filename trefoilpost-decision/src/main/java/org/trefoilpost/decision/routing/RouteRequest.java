package org.trefoilpost.decision.routing;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import org.trefoilpost.model.DataCentreName;
import org.trefoilpost.model.RackName;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.worker.Worker;

/**
 * The routing constraints of an attempt: the entry's own data centre, which is preferred, and the workers and racks to
 * avoid.
 */
public final class RouteRequest {
    private final DataCentreName ownDataCentre;
    private final Set<WorkerId> excludedWorkers;
    private final Set<RackName> excludedRacks;

    private RouteRequest(DataCentreName ownDataCentre, Set<WorkerId> excludedWorkers, Set<RackName> excludedRacks) {
        this.ownDataCentre = ownDataCentre;
        this.excludedWorkers = excludedWorkers;
        this.excludedRacks = excludedRacks;
    }

    /**
     * Obtains the request of a first attempt, which excludes no worker and no rack.
     *
     * @param ownDataCentre  the data centre of the entry, not null
     * @return the request, not null
     */
    public static RouteRequest of(DataCentreName ownDataCentre) {
        return new RouteRequest(Objects.requireNonNull(ownDataCentre, "ownDataCentre"), Set.of(), Set.of());
    }

    /**
     * Returns the data centre of the entry.
     *
     * @return the data centre, not null
     */
    public DataCentreName ownDataCentre() {
        return ownDataCentre;
    }

    /**
     * Returns the workers to avoid.
     *
     * @return the workers, not null, empty if there are none
     */
    public Set<WorkerId> excludedWorkers() {
        return excludedWorkers;
    }

    /**
     * Returns the racks to avoid.
     *
     * @return the racks, not null, empty if there are none
     */
    public Set<RackName> excludedRacks() {
        return excludedRacks;
    }

    /**
     * Returns a copy of this request that also avoids a worker.
     *
     * @param worker  the worker, not null
     * @return the copy, not null
     */
    public RouteRequest withoutWorker(WorkerId worker) {
        Set<WorkerId> workers = new HashSet<>(excludedWorkers);
        workers.add(worker);
        return new RouteRequest(ownDataCentre, Set.copyOf(workers), excludedRacks);
    }

    /**
     * Returns a copy of this request that also avoids a rack.
     *
     * @param rack  the rack, not null
     * @return the copy, not null
     */
    public RouteRequest withoutRack(RackName rack) {
        Set<RackName> racks = new HashSet<>(excludedRacks);
        racks.add(rack);
        return new RouteRequest(ownDataCentre, excludedWorkers, Set.copyOf(racks));
    }

    /**
     * Returns whether every worker may serve this request.
     *
     * @return true if no worker and no rack is excluded
     */
    public boolean allowsAll() {
        return excludedWorkers.isEmpty() && excludedRacks.isEmpty();
    }

    /**
     * Returns whether a worker may serve this request.
     *
     * @param worker  the worker, not null
     * @return true unless the worker or its rack is excluded
     */
    public boolean allows(Worker worker) {
        return !excludedWorkers.contains(worker.id()) && !excludedRacks.contains(worker.rack());
    }
}
