package org.trefoilpost.decision.job.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.trefoilpost.decision.job.PoolDemand;

/**
 * The known state of the machines, the demand of the pools, and the workers to evacuate.
 */
final class FleetView {
    /** Time for which the registry may still list a worker that has ended. */
    private static final long RETIRED_WORKER_LISTED_MILLIS = 12_000;
    /** Maximum age of a pool's demand that decisions are based on. */
    private static final long DEMAND_VALID_MILLIS = 1_500;

    private final Map<String, MachineView> machines = new TreeMap<>();
    private final Map<String, DemandReport> demandReports = new HashMap<>();
    private final Map<String, RetiredWorker> retiredWorkers = new HashMap<>();
    private final Map<String, Set<String>> evacuating = new HashMap<>();
    /** At most one order for each machine, so that an answer can only be that of one order. */
    private final Map<String, MachineOrder> ordersInFlight = new HashMap<>();

    private Set<String> runningPools = Set.of();
    private Set<String> sparePools = Set.of();
    private long listRequestedMillis = Long.MIN_VALUE / 2;
    private long listedMillis = Long.MIN_VALUE / 2;

    void configure(Set<String> running, Set<String> spare) {
        runningPools = Set.copyOf(running);
        sparePools = Set.copyOf(spare);
    }

    Set<String> runningPools() {
        return runningPools;
    }

    Set<String> sparePools() {
        return sparePools;
    }

    void replaceMachines(List<MachineView> views, long requestedMillis, long nowMillis) {
        machines.clear();
        views.forEach(view -> machines.put(view.name(), view));
        listRequestedMillis = requestedMillis;
        listedMillis = nowMillis;
    }

    /**
     * Returns the time at which the latest list was requested, in milliseconds on the steady clock.
     */
    long listRequestedMillis() {
        return listRequestedMillis;
    }

    long listedMillis() {
        return listedMillis;
    }

    boolean isListed() {
        return listedMillis > Long.MIN_VALUE / 2;
    }

    Collection<MachineView> machines() {
        return machines.values();
    }

    List<MachineView> machinesOf(String pool) {
        List<MachineView> found = new ArrayList<>();
        for (MachineView machine : machines.values()) {
            if (machine.pool().equals(pool)) {
                found.add(machine);
            }
        }
        return found;
    }

    Optional<MachineView> machine(String name) {
        return Optional.ofNullable(machines.get(name));
    }

    /**
     * Updates a machine after an order, ahead of the next list.
     */
    void updateMachine(MachineView view) {
        machines.put(view.name(), view);
    }

    void recordDemand(String pool, Set<String> evacuatingThen, PoolDemand demand, long nowMillis) {
        demandReports.put(pool, new DemandReport(Set.copyOf(evacuatingThen), demand, nowMillis));
    }

    /**
     * Returns the demand of a pool, empty if none is known or the last one is too old.
     */
    Optional<PoolDemand> demand(String pool, long nowMillis) {
        DemandReport report = demandReports.get(pool);
        return report == null || nowMillis - report.receivedMillis() > DEMAND_VALID_MILLIS
                ? Optional.empty()
                : Optional.of(report.demand());
    }

    /**
     * Returns the last known usage of the worker on a machine, empty if there is none.
     */
    Optional<PoolDemand.WorkerUsage> usage(MachineView machine) {
        return lastDemand(machine.pool()).map(demand -> demand.workers().get(machine.worker()));
    }

    /**
     * Returns whether the pool of a machine keeps its worker for steps that wait.
     */
    boolean isAwaited(MachineView machine) {
        return lastDemand(machine.pool())
                .filter(demand -> demand.awaitedWorkers().contains(machine.worker()))
                .isPresent();
    }

    private Optional<PoolDemand> lastDemand(String pool) {
        return Optional.ofNullable(demandReports.get(pool)).map(DemandReport::demand);
    }

    /**
     * Returns whether nothing runs on a machine and its pool assigns no work to it; true for each machine of a pool that
     * runs no jobs.
     */
    boolean isEmpty(MachineView machine) {
        if (!runningPools.contains(machine.pool())) {
            return true;
        }
        DemandReport report = demandReports.get(machine.pool());
        return report != null
                && report.evacuating().contains(machine.worker())
                && evacuating.getOrDefault(machine.pool(), Set.of()).contains(machine.worker())
                && usage(machine).map(PoolDemand.WorkerUsage::empty).orElse(false);
    }

    boolean isEvacuating(MachineView machine) {
        return evacuating.getOrDefault(machine.pool(), Set.of()).contains(machine.worker());
    }

    /**
     * Records that the worker on a machine has ended because of an order.
     */
    void retire(MachineView machine, long nowMillis) {
        if (!machine.worker().isEmpty()) {
            retiredWorkers.put(machine.worker(), new RetiredWorker(machine.pool(), nowMillis));
        }
    }

    boolean isRetired(String worker) {
        return retiredWorkers.containsKey(worker);
    }

    /**
     * Replaces the workers to evacuate by those on the given machines, and adds retired workers that
     * the registry may still list.
     */
    void replaceEvacuating(Collection<MachineView> machinesToEvacuate, long nowMillis) {
        Map<String, Set<String>> next = new HashMap<>();
        evacuating.keySet().forEach(pool -> next.put(pool, new HashSet<>()));
        retiredWorkers.values().removeIf(worker -> nowMillis - worker.sinceMillis() > RETIRED_WORKER_LISTED_MILLIS);
        retiredWorkers.forEach((worker, ended) ->
                next.computeIfAbsent(ended.pool(), pool -> new HashSet<>()).add(worker));
        for (MachineView machine : machinesToEvacuate) {
            if (!machine.worker().isEmpty()) {
                next.computeIfAbsent(machine.pool(), pool -> new HashSet<>()).add(machine.worker());
            }
        }
        evacuating.clear();
        evacuating.putAll(next);
    }

    Set<String> evacuatingWorkers(String pool) {
        return evacuating.getOrDefault(pool, Set.of());
    }

    boolean hasOrderInFlight(String machine) {
        return ordersInFlight.containsKey(machine);
    }

    void orderSent(String machine, MachineOrder order) {
        ordersInFlight.put(machine, order);
    }

    /**
     * Returns the order of a machine that was answered, empty if none was under way.
     */
    Optional<MachineOrder> orderAnswered(String machine) {
        return Optional.ofNullable(ordersInFlight.remove(machine));
    }

    /**
     * The demand that a pool reported, and the workers that it was instructed to evacuate at that time.
     */
    private record DemandReport(Set<String> evacuating, PoolDemand demand, long receivedMillis) {}

    /**
     * A worker that ended because of an order.
     */
    private record RetiredWorker(String pool, long sinceMillis) {}
}
