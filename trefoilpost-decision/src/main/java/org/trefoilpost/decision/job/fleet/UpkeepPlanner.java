package org.trefoilpost.decision.job.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.trefoilpost.decision.job.PoolDemand;

/**
 * Decides which machines are emptied and maintained next, for all waves.
 */
final class UpkeepPlanner {
    private static final long RETRY_MILLIS = 300;
    /** How many machines more than may be down are emptied in advance. */
    private static final int EXTRA_EMPTYING_MACHINES = 1;

    private final FleetActions actions;
    private final FleetView view;
    private final OrderRateLimiter rateLimiter;
    private final Map<Long, WaveProgress> waves = new TreeMap<>();
    private final Map<String, Long> downSinceMillis = new HashMap<>();
    private final Map<String, Long> retryAtMillis = new HashMap<>();
    private final Set<String> emptying = new HashSet<>();

    UpkeepPlanner(FleetActions actions, FleetView view, OrderRateLimiter pace) {
        this.actions = actions;
        this.view = view;
        this.rateLimiter = pace;
    }

    void loadWave(long number, String state, long revision) {
        waves.computeIfAbsent(number, WaveProgress::new).loadState(state, revision);
    }

    void addWave(long number, List<String> wanted, long withinMillis, int atOnce, long nowMillis) {
        WaveProgress wave = waves.computeIfAbsent(number, WaveProgress::new);
        if (!wave.requested) {
            wave.requested = true;
            wave.machines = List.copyOf(wanted);
            wave.atOnce = Math.max(1, atOnce);
            wave.deadlineMillis = nowMillis + withinMillis;
            wave.dirty = !wave.completedStored;
            wave.orderedMachines.forEach(machine -> downSinceMillis.put(machine, nowMillis));
        }
    }

    boolean isActive() {
        return waves.values().stream().anyMatch(WaveProgress::isOpen);
    }

    /**
     * Returns whether a wave has something to do with a machine now, so that it is not to be moved.
     */
    boolean isDownOrOrdered(MachineView machine) {
        return downSinceMillis.containsKey(machine.name()) || isUpkeepOrdered(machine.name());
    }

    /**
     * Returns whether a machine is being emptied for its upkeep, so that its pool has to do without it soon.
     */
    boolean isEmptying(MachineView machine) {
        return emptying.contains(machine.name());
    }

    /**
     * Takes in a new list of machines.
     */
    void machinesListed(long askedMillis) {
        for (WaveProgress wave : waves.values()) {
            for (String machine : wave.machines) {
                updateMachine(wave, machine, askedMillis);
            }
        }
    }

    private void updateMachine(WaveProgress wave, String machine, long askedMillis) {
        MachineView known = view.machine(machine).orElse(null);
        if (known == null && wave.doneMachines.add(machine)) {
            wave.orderedMachines.remove(machine);
            wave.dirty = true;
        }
        Long since = downSinceMillis.get(machine);
        boolean back = known == null || known.up() && wave.doneMachines.contains(machine);
        if (since != null
                && back
                && askedMillis > since
                && !view.machinesWithOrderInFlight().contains(machine)) {
            downSinceMillis.remove(machine);
        }
    }

    /**
     * Returns whether the upkeep of a machine has been ordered.
     */
    boolean isUpkeepOrdered(String machine) {
        return waves.values().stream().anyMatch(wave -> wave.orderedMachines.contains(machine));
    }

    /**
     * Takes in the outcome of an order for upkeep.
     */
    void orderAnswered(String machine, OrderOutcome outcome, long nowMillis) {
        for (WaveProgress wave : waves.values()) {
            if (wave.orderedMachines.contains(machine)) {
                applyOutcome(wave, machine, outcome, nowMillis);
                return;
            }
        }
    }

    private void applyOutcome(WaveProgress wave, String machine, OrderOutcome outcome, long nowMillis) {
        if (outcome == OrderOutcome.DONE || outcome == OrderOutcome.REJECTED) {
            wave.orderedMachines.remove(machine);
            wave.doneMachines.add(machine);
            wave.dirty = true;
            downSinceMillis.put(machine, nowMillis);
            view.machine(machine).ifPresent(known -> view.retire(known, nowMillis));
        } else {
            retryAtMillis.put(machine, nowMillis + RETRY_MILLIS);
        }
    }

    void waveStored(long number, String state, long revision) {
        waves.get(number).stateStored(state, revision);
    }

    void waveStoreFailed(long number) {
        WaveProgress wave = waves.get(number);
        wave.storing = false;
        wave.dirty = true;
    }

    /**
     * Chooses machines, gives orders whose intent is stored, and stores what has changed.
     *
     * @param wanted  true if pools wait for machines, so that no more than necessary are to be away
     * @param nowMillis  the present time on the steady clock
     * @return the machines that are to be kept free of work
     */
    List<MachineView> tick(boolean wanted, long nowMillis) {
        List<MachineView> keepFree = new ArrayList<>();
        emptying.clear();
        for (WaveProgress wave : waves.values()) {
            if (wave.isOpen()) {
                chooseMachines(wave, wanted, keepFree, nowMillis);
                sendStoredOrders(wave, nowMillis);
                storeIfDirty(wave);
            }
        }
        return keepFree;
    }

    private void chooseMachines(WaveProgress wave, boolean wanted, List<MachineView> keepFree, long nowMillis) {
        int down = countDown(wave);
        List<MachineView> candidates = candidates(wave);
        int empty = wanted ? (int) candidates.stream().filter(view::isEmpty).count() : 0;
        int atOnce = wave.requiredAtOnce(empty, nowMillis);
        int chosen = 0;
        for (MachineView machine : candidates) {
            if (view.isEmpty(machine)
                    && down < atOnce
                    && !view.machinesWithOrderInFlight().contains(machine.name())) {
                down++;
                wave.orderedMachines.add(machine.name());
                wave.dirty = true;
                downSinceMillis.put(machine.name(), nowMillis);
                keepFree.add(machine);
            } else if (chosen + down < atOnce + EXTRA_EMPTYING_MACHINES) {
                chosen++;
                emptying.add(machine.name());
                keepFree.add(machine);
            }
        }
        wave.orderedMachines.forEach(machine -> view.machine(machine).ifPresent(keepFree::add));
    }

    private int countDown(WaveProgress wave) {
        int down = 0;
        for (String machine : wave.machines) {
            boolean away = downSinceMillis.containsKey(machine)
                    || view.machine(machine).map(MachineView::inUpkeep).orElse(false);
            down += wave.orderedMachines.contains(machine) || away ? 1 : 0;
        }
        return down;
    }

    private void sendStoredOrders(WaveProgress wave, long nowMillis) {
        for (String machine : wave.storedOrders) {
            boolean due = wave.orderedMachines.contains(machine)
                    && !view.machinesWithOrderInFlight().contains(machine)
                    && nowMillis >= retryAtMillis.getOrDefault(machine, Long.MIN_VALUE);
            if (due && rateLimiter.tryAcquire(nowMillis)) {
                view.machinesWithOrderInFlight().add(machine);
                actions.beginUpkeep(machine, wave.number);
            }
        }
    }

    private void storeIfDirty(WaveProgress wave) {
        if (wave.dirty && !wave.storing) {
            wave.dirty = false;
            wave.storing = true;
            actions.storeWave(wave.number, wave.encodeState(), wave.revision, wave.isCompleted());
        }
    }

    /**
     * Returns the machines that can be maintained next: those that are empty first, then those already being emptied,
     * then those with the least to do.
     */
    private List<MachineView> candidates(WaveProgress wave) {
        List<MachineView> candidates = new ArrayList<>();
        for (String name : wave.waitingMachines()) {
            view.machine(name).filter(MachineView::up).ifPresent(candidates::add);
        }
        candidates.sort(Comparator.comparing((MachineView machine) -> !view.isEmpty(machine))
                .thenComparing(machine -> !view.isEvacuating(machine))
                .thenComparingLong(this::usedCpuMillis)
                .thenComparing(MachineView::name));
        return candidates;
    }

    private long usedCpuMillis(MachineView machine) {
        PoolDemand.WorkerUsage load = view.load(machine).orElse(null);
        return load == null ? 0 : load.usedCpuMillis() + (load.hasLongRunning() ? machine.cpuMillis() : 0);
    }
}
