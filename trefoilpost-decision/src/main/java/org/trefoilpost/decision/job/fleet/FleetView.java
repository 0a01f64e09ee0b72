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
    private static final long RETIRED_MILLIS = 12_000;
    /** Time in milliseconds for which a pool's load says enough to decide on. */
    private static final long LOAD_VALID_MILLIS = 1_500;

    private final Map<String, MachineView> machines = new TreeMap<>();
    private final Map<String, Answer> answers = new HashMap<>();
    private final Map<String, Retired> retired = new HashMap<>();
    private final Map<String, Set<String>> keptFree = new HashMap<>();
    private final Set<String> inFlight = new HashSet<>();
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

    void list(List<MachineView> views, long nowMillis) {
        machines.clear();
        views.forEach(view -> machines.put(view.name(), view));
        listedMillis = nowMillis;
    }

    long listedMillis() {
        return listedMillis;
    }

    boolean listed() {
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
    void assume(MachineView view) {
        machines.put(view.name(), view);
    }

    void load(String pool, Set<String> keptFree, PoolDemand load, long nowMillis) {
        answers.put(pool, new Answer(Set.copyOf(keptFree), load, nowMillis));
    }

    Optional<PoolDemand> load(String pool, long nowMillis) {
        Answer answer = answers.get(pool);
        return answer == null || nowMillis - answer.millis() > LOAD_VALID_MILLIS
                ? Optional.empty()
                : Optional.of(answer.load());
    }

    Optional<PoolDemand.WorkerUsage> load(MachineView machine) {
        Answer answer = answers.get(machine.pool());
        return answer == null
                ? Optional.empty()
                : Optional.ofNullable(answer.load().workers().get(machine.worker()));
    }

    /**
     * Returns whether nothing runs on a machine and its pool gives it no work.
     */
    boolean isEmpty(MachineView machine) {
        if (!runningPools.contains(machine.pool())) {
            return true;
        }
        Answer answer = answers.get(machine.pool());
        return answer != null
                && answer.keptFree().contains(machine.worker())
                && keptFree.getOrDefault(machine.pool(), Set.of()).contains(machine.worker())
                && load(machine).map(PoolDemand.WorkerUsage::empty).orElse(false);
    }

    boolean isKeptFree(MachineView machine) {
        return keptFree.getOrDefault(machine.pool(), Set.of()).contains(machine.worker());
    }

    /**
     * Notes that the life of the worker on a machine has ended.
     */
    void retire(MachineView machine, long nowMillis) {
        if (!machine.worker().isEmpty()) {
            retired.put(machine.worker(), new Retired(machine.pool(), nowMillis));
        }
    }

    boolean isRetired(String worker) {
        return retired.containsKey(worker);
    }

    /**
     * Replaces the workers that are kept free.
     */
    void keepFree(Collection<MachineView> chosen, long nowMillis) {
        Map<String, Set<String>> next = new HashMap<>();
        keptFree.keySet().forEach(pool -> next.put(pool, new HashSet<>()));
        retired.values().removeIf(worker -> nowMillis - worker.sinceMillis() > RETIRED_MILLIS);
        retired.forEach((worker, ended) ->
                next.computeIfAbsent(ended.pool(), pool -> new HashSet<>()).add(worker));
        for (MachineView machine : chosen) {
            if (!machine.worker().isEmpty()) {
                next.computeIfAbsent(machine.pool(), pool -> new HashSet<>()).add(machine.worker());
            }
        }
        keptFree.clear();
        keptFree.putAll(next);
    }

    Set<String> keptFree(String pool) {
        return keptFree.getOrDefault(pool, Set.of());
    }

    Set<String> inFlight() {
        return inFlight;
    }

    /**
     * A pool's load, and which of its workers it kept free then.
     */
    private record Answer(Set<String> keptFree, PoolDemand load, long millis) {}

    /**
     * A worker whose life was ended by an order.
     */
    private record Retired(String pool, long sinceMillis) {}
}
