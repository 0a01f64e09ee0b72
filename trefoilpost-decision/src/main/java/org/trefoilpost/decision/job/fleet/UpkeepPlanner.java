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
    private static final int AHEAD = 1;

    private final FleetActions actions;
    private final FleetView view;
    private final OrderPace pace;
    private final Map<Long, WaveRun> waves = new TreeMap<>();
    private final Map<String, Long> downSince = new HashMap<>();
    private final Map<String, Long> retryAt = new HashMap<>();
    private final Set<String> emptying = new HashSet<>();

    UpkeepPlanner(FleetActions actions, FleetView view, OrderPace pace) {
        this.actions = actions;
        this.view = view;
        this.pace = pace;
    }

    void load(long number, String state, long revision) {
        waves.computeIfAbsent(number, WaveRun::new).load(state, revision);
    }

    void add(long number, List<String> wanted, long withinMillis, int atOnce, long nowMillis) {
        WaveRun wave = waves.computeIfAbsent(number, WaveRun::new);
        if (!wave.known) {
            wave.known = true;
            wave.machines = List.copyOf(wanted);
            wave.atOnce = Math.max(1, atOnce);
            wave.deadlineMillis = nowMillis + withinMillis;
            wave.dirty = !wave.completedStored;
            wave.ordered.forEach(machine -> downSince.put(machine, nowMillis));
        }
    }

    boolean active() {
        return waves.values().stream().anyMatch(WaveRun::open);
    }

    /**
     * Returns whether a wave has something to do with a machine now, so that it is not to be moved.
     */
    boolean concerns(MachineView machine) {
        return downSince.containsKey(machine.name()) || isOrdered(machine.name());
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
    void listed(long askedMillis) {
        for (WaveRun wave : waves.values()) {
            for (String machine : wave.machines) {
                settle(wave, machine, askedMillis);
            }
        }
    }

    private void settle(WaveRun wave, String machine, long askedMillis) {
        MachineView known = view.machine(machine).orElse(null);
        if (known == null && wave.done.add(machine)) {
            wave.ordered.remove(machine);
            wave.dirty = true;
        }
        Long since = downSince.get(machine);
        boolean back = known == null || known.up() && wave.done.contains(machine);
        if (since != null && back && askedMillis > since && !view.inFlight().contains(machine)) {
            downSince.remove(machine);
        }
    }

    /**
     * Returns whether the upkeep of a machine has been ordered.
     */
    boolean isOrdered(String machine) {
        return waves.values().stream().anyMatch(wave -> wave.ordered.contains(machine));
    }

    /**
     * Takes in the outcome of an order for upkeep.
     */
    void ordered(String machine, OrderOutcome outcome, long nowMillis) {
        for (WaveRun wave : waves.values()) {
            if (wave.ordered.contains(machine)) {
                conclude(wave, machine, outcome, nowMillis);
                return;
            }
        }
    }

    private void conclude(WaveRun wave, String machine, OrderOutcome outcome, long nowMillis) {
        if (outcome == OrderOutcome.DONE || outcome == OrderOutcome.REJECTED) {
            wave.ordered.remove(machine);
            wave.done.add(machine);
            wave.dirty = true;
            downSince.put(machine, nowMillis);
            view.machine(machine).ifPresent(known -> view.retire(known, nowMillis));
        } else {
            retryAt.put(machine, nowMillis + RETRY_MILLIS);
        }
    }

    void stored(long number, String state, long revision) {
        waves.get(number).stored(state, revision);
    }

    void storeAgain(long number) {
        WaveRun wave = waves.get(number);
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
        for (WaveRun wave : waves.values()) {
            if (wave.open()) {
                choose(wave, wanted, keepFree, nowMillis);
                order(wave, nowMillis);
                store(wave);
            }
        }
        return keepFree;
    }

    private void choose(WaveRun wave, boolean wanted, List<MachineView> keepFree, long nowMillis) {
        int down = down(wave);
        List<MachineView> candidates = candidates(wave);
        int empty = wanted ? (int) candidates.stream().filter(view::isEmpty).count() : 0;
        int atOnce = wave.atOnceNow(empty, nowMillis);
        int chosen = 0;
        for (MachineView machine : candidates) {
            if (view.isEmpty(machine) && down < atOnce && !view.inFlight().contains(machine.name())) {
                down++;
                wave.ordered.add(machine.name());
                wave.dirty = true;
                downSince.put(machine.name(), nowMillis);
                keepFree.add(machine);
            } else if (chosen + down < atOnce + AHEAD) {
                chosen++;
                emptying.add(machine.name());
                keepFree.add(machine);
            }
        }
        wave.ordered.forEach(machine -> view.machine(machine).ifPresent(keepFree::add));
    }

    private int down(WaveRun wave) {
        int down = 0;
        for (String machine : wave.machines) {
            boolean away = downSince.containsKey(machine)
                    || view.machine(machine).map(MachineView::inUpkeep).orElse(false);
            down += wave.ordered.contains(machine) || away ? 1 : 0;
        }
        return down;
    }

    private void order(WaveRun wave, long nowMillis) {
        for (String machine : wave.storedOrders) {
            boolean due = wave.ordered.contains(machine)
                    && !view.inFlight().contains(machine)
                    && nowMillis >= retryAt.getOrDefault(machine, Long.MIN_VALUE);
            if (due && pace.take(nowMillis)) {
                view.inFlight().add(machine);
                actions.beginUpkeep(machine, wave.number);
            }
        }
    }

    private void store(WaveRun wave) {
        if (wave.dirty && !wave.storing) {
            wave.dirty = false;
            wave.storing = true;
            actions.store(wave.number, wave.state(), wave.revision, wave.completed());
        }
    }

    /**
     * Returns the machines that can be maintained next: those that are empty first, then those already being emptied,
     * then those with the least to do.
     */
    private List<MachineView> candidates(WaveRun wave) {
        List<MachineView> candidates = new ArrayList<>();
        for (String name : wave.waiting()) {
            view.machine(name).filter(MachineView::up).ifPresent(candidates::add);
        }
        candidates.sort(Comparator.comparing((MachineView machine) -> !view.isEmpty(machine))
                .thenComparing(machine -> !view.isKeptFree(machine))
                .thenComparingLong(this::used)
                .thenComparing(MachineView::name));
        return candidates;
    }

    private long used(MachineView machine) {
        PoolDemand.WorkerUsage load = view.load(machine).orElse(null);
        return load == null ? 0 : load.usedCpuMillis() + (load.hasLongRunning() ? machine.cpuMillis() : 0);
    }
}
