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
 * What is known of machines and of the pools' loads, and which workers are to be kept free of work.
 */
final class FleetView {
    /** Time in milliseconds for which the registry may list a worker that has ended. */
    private static final long RETIRED_WORKER_LISTED_MILLIS = 12_000;
    /** Time in milliseconds for which a pool's load says enough to decide on. */
    private static final long DEMAND_VALID_MILLIS = 1_500;

    private final Map<String, MachineView> machines = new TreeMap<>();
    private final Map<String, DemandReport> demandReports = new HashMap<>();
    private final Map<String, RetiredWorker> retiredWorkers = new HashMap<>();
    private final Map<String, Set<String>> evacuating = new HashMap<>();
    private final Set<String> machinesWithOrderInFlight = new HashSet<>();
    private Set<String> runningPools = Set.of();
    private Set<String> sparePools = Set.of();
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

    void replaceMachines(List<MachineView> views, long nowMillis) {
        machines.clear();
        views.forEach(view -> machines.put(view.name(), view));
        listedMillis = nowMillis;
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
     * Notes that a machine has changed, before the next list says so.
     */
    void updateMachine(MachineView view) {
        machines.put(view.name(), view);
    }

    void load(String pool, Set<String> keptFree, PoolDemand load, long nowMillis) {
        demandReports.put(pool, new DemandReport(Set.copyOf(keptFree), load, nowMillis));
    }

    Optional<PoolDemand> load(String pool, long nowMillis) {
        DemandReport answer = demandReports.get(pool);
        return answer == null || nowMillis - answer.receivedMillis() > DEMAND_VALID_MILLIS
                ? Optional.empty()
                : Optional.of(answer.demand());
    }

    Optional<PoolDemand.WorkerUsage> load(MachineView machine) {
        DemandReport answer = demandReports.get(machine.pool());
        return answer == null
                ? Optional.empty()
                : Optional.ofNullable(answer.demand().workers().get(machine.worker()));
    }

    /**
     * Returns whether nothing runs on a machine and its pool gives it no work.
     */
    boolean isEmpty(MachineView machine) {
        if (!runningPools.contains(machine.pool())) {
            return true;
        }
        DemandReport answer = demandReports.get(machine.pool());
        return answer != null
                && answer.evacuating().contains(machine.worker())
                && evacuating.getOrDefault(machine.pool(), Set.of()).contains(machine.worker())
                && load(machine).map(PoolDemand.WorkerUsage::empty).orElse(false);
    }

    boolean isEvacuating(MachineView machine) {
        return evacuating.getOrDefault(machine.pool(), Set.of()).contains(machine.worker());
    }

    /**
     * Notes that the life of the worker on a machine has ended.
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
     * Replaces the workers that are kept free.
     */
    void replaceEvacuating(Collection<MachineView> chosen, long nowMillis) {
        Map<String, Set<String>> next = new HashMap<>();
        evacuating.keySet().forEach(pool -> next.put(pool, new HashSet<>()));
        retiredWorkers.values().removeIf(worker -> nowMillis - worker.sinceMillis() > RETIRED_WORKER_LISTED_MILLIS);
        retiredWorkers.forEach((worker, ended) ->
                next.computeIfAbsent(ended.pool(), pool -> new HashSet<>()).add(worker));
        for (MachineView machine : chosen) {
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

    Set<String> machinesWithOrderInFlight() {
        return machinesWithOrderInFlight;
    }

    /**
     * A pool's load, and which of its workers it kept free then.
     */
    private record DemandReport(Set<String> evacuating, PoolDemand demand, long receivedMillis) {}

    /**
     * A worker whose life was ended by an order.
     */
    private record RetiredWorker(String pool, long sinceMillis) {}
}
