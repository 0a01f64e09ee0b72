package org.trefoilpost.decision.job.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.decision.job.Moment;
import org.trefoilpost.decision.job.PoolLoad;

/**
 * Decides which machines are emptied and maintained next.
 */
public final class FleetPlan {
    private static final long ACTIVE_LIST_MILLIS = 700;
    private static final long ASK_MILLIS = 250;
    private static final long RETRY_MILLIS = 300;
    /** How many machines more than may be down are emptied in advance. */
    private static final int AHEAD = 1;
    /** Time in milliseconds for which the registry may list a worker that has ended. */
    private static final long RETIRED_MILLIS = 12_000;

    private final FleetActions actions;
    private final double callsPerSecond;
    private final Map<Long, WaveRun> waves = new TreeMap<>();
    private final Map<String, MachineView> machines = new TreeMap<>();
    private final Map<String, PoolAnswer> answers = new HashMap<>();
    private final Map<String, Long> downSince = new HashMap<>();
    private final Map<String, Long> retryAt = new HashMap<>();
    private final Set<String> inFlight = new HashSet<>();
    private final Map<String, Retired> retired = new HashMap<>();
    private final Map<String, Set<String>> evacuated = new HashMap<>();
    private Set<String> pools = Set.of();
    private long listedMillis = Long.MIN_VALUE / 2;
    private long listAskedMillis = Long.MIN_VALUE / 2;
    private long lastAskMillis = Long.MIN_VALUE / 2;
    private long lastOrderMillis = Long.MIN_VALUE / 2;

    /**
     * Constructs a plan without waves.
     *
     * @param actions  what carries decisions out, not null
     * @param callsPerSecond  the most orders in a second
     */
    public FleetPlan(FleetActions actions, double callsPerSecond) {
        this.actions = actions;
        this.callsPerSecond = Math.max(1, callsPerSecond);
    }

    /**
     * Takes in the pools of the configuration in force.
     *
     * @param running  the pools that run jobs, not null
     * @param spare  the pools whose machines are off, not null
     */
    public void configure(Set<String> running, Set<String> spare) {
        pools = Set.copyOf(running);
    }

    /**
     * Takes in the stored state of a wave.
     *
     * @param number  the wave
     * @param state  the state, not null
     * @param revision  the state's revision
     */
    public void load(long number, String state, long revision) {
        waves.computeIfAbsent(number, WaveRun::new).load(state, revision);
    }

    /**
     * Takes in a wave that operators want.
     *
     * @param number  the wave
     * @param wanted  the machines, not null
     * @param withinMillis  the time in which all are to be maintained, in milliseconds
     * @param atOnce  the most machines that may be down at the same time
     * @param nowMillis  the present time on the steady clock
     */
    public void wave(long number, List<String> wanted, long withinMillis, int atOnce, long nowMillis) {
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

    /**
     * Takes in the list of machines.
     *
     * @param views  the machines, not null
     * @param askedMillis  when the list was asked for, on the steady clock
     * @param now  the present time, not null
     */
    public void machines(List<MachineView> views, long askedMillis, Moment now) {
        machines.clear();
        views.forEach(view -> machines.put(view.name(), view));
        listedMillis = now.steadyMillis();
        for (WaveRun wave : waves.values()) {
            settle(wave, askedMillis);
        }
    }

    private void settle(WaveRun wave, long askedMillis) {
        for (String machine : wave.machines) {
            MachineView view = machines.get(machine);
            if (view == null && wave.done.add(machine)) {
                wave.ordered.remove(machine);
                wave.dirty = true;
            }
            Long since = downSince.get(machine);
            boolean back = view == null || view.up() && wave.done.contains(machine);
            if (since != null && back && askedMillis > since && !inFlight.contains(machine)) {
                downSince.remove(machine);
            }
        }
    }

    /**
     * Takes in that the machines could not be listed.
     *
     * @param now  the present time, not null
     */
    public void listFailed(Moment now) {
        listAskedMillis = now.steadyMillis() - ACTIVE_LIST_MILLIS + RETRY_MILLIS;
    }

    /**
     * Takes in a pool's load.
     *
     * @param pool  the pool, not null
     * @param workers  the workers that the pool was asked to empty, not null
     * @param load  the load, not null
     * @param now  the present time, not null
     */
    public void load(String pool, Set<String> workers, PoolLoad load, Moment now) {
        answers.put(pool, new PoolAnswer(Set.copyOf(workers), load));
    }

    /**
     * Takes in the outcome of an order.
     *
     * @param machine  the machine, not null
     * @param outcome  the outcome, not null
     * @param now  the present time, not null
     */
    public void ordered(String machine, OrderOutcome outcome, Moment now) {
        inFlight.remove(machine);
        actions.decided(Decision.of("machine-ordered").with("machine", machine).with("outcome", outcome.name()));
        WaveRun wave = waveOf(machine);
        if (outcome == OrderOutcome.FENCED) {
            actions.fenced(machine);
        } else if (wave == null) {
            return;
        } else if (outcome == OrderOutcome.DONE || outcome == OrderOutcome.REJECTED) {
            wave.ordered.remove(machine);
            wave.done.add(machine);
            wave.dirty = true;
            downSince.put(machine, now.steadyMillis());
            retire(machine, now.steadyMillis());
        } else {
            retryAt.put(machine, now.steadyMillis() + RETRY_MILLIS);
        }
    }

    private void retire(String machine, long nowMillis) {
        MachineView view = machines.get(machine);
        if (view != null && !view.worker().isEmpty()) {
            retired.put(view.worker(), new Retired(view.pool(), nowMillis));
        }
    }

    private WaveRun waveOf(String machine) {
        for (WaveRun wave : waves.values()) {
            if (wave.ordered.contains(machine)) {
                return wave;
            }
        }
        return null;
    }

    /**
     * Takes in that the state of a wave is stored.
     *
     * @param number  the wave
     * @param state  the state that is stored, not null
     * @param revision  its revision
     * @param now  the present time, not null
     */
    public void stored(long number, String state, long revision, Moment now) {
        waves.get(number).stored(state, revision);
        tick(now);
    }

    /**
     * Takes in that the state of a wave may not have been stored.
     *
     * @param number  the wave
     */
    public void storeAgain(long number) {
        WaveRun wave = waves.get(number);
        wave.storing = false;
        wave.dirty = true;
    }

    /**
     * Decides what is due.
     *
     * @param now  the present time, not null
     */
    public void tick(Moment now) {
        boolean active = waves.values().stream().anyMatch(WaveRun::open);
        if (active) {
            list(now.steadyMillis());
            for (WaveRun wave : waves.values()) {
                if (wave.open()) {
                    advance(wave, now);
                }
            }
        }
        ask(now.steadyMillis());
    }

    private void list(long nowMillis) {
        if (nowMillis - listAskedMillis >= ACTIVE_LIST_MILLIS) {
            listAskedMillis = nowMillis;
            actions.listMachines();
        }
    }

    private void advance(WaveRun wave, Moment now) {
        long nowMillis = now.steadyMillis();
        if (listedMillis > Long.MIN_VALUE / 2) {
            plan(wave, nowMillis);
        }
        for (String machine : wave.storedOrders) {
            boolean due = wave.ordered.contains(machine)
                    && !inFlight.contains(machine)
                    && nowMillis >= retryAt.getOrDefault(machine, Long.MIN_VALUE);
            if (due && nowMillis - lastOrderMillis >= 1_000 / callsPerSecond) {
                lastOrderMillis = nowMillis;
                inFlight.add(machine);
                actions.beginUpkeep(machine, wave.number);
            }
        }
        if (wave.dirty && !wave.storing) {
            wave.dirty = false;
            wave.storing = true;
            actions.store(wave.number, wave.state(), wave.revision, wave.completed());
        }
    }

    private void plan(WaveRun wave, long nowMillis) {
        int down = 0;
        for (String machine : wave.machines) {
            MachineView view = machines.get(machine);
            boolean away = downSince.containsKey(machine) || view != null && view.inUpkeep();
            down += wave.ordered.contains(machine) || away ? 1 : 0;
        }
        int atOnce = wave.atOnceNow(nowMillis);
        List<MachineView> next = candidates(wave);
        int empty = 0;
        Map<String, Set<String>> emptying = new HashMap<>();
        for (MachineView machine : next) {
            if (isEmpty(machine) && down < atOnce) {
                down++;
                wave.ordered.add(machine.name());
                wave.dirty = true;
                downSince.put(machine.name(), nowMillis);
                keepOut(emptying, machine);
            } else if (empty + down < atOnce + AHEAD) {
                empty++;
                keepOut(emptying, machine);
            }
        }
        for (String machine : wave.ordered) {
            MachineView view = machines.get(machine);
            if (view != null) {
                keepOut(emptying, view);
            }
        }
        retired.values().removeIf(worker -> nowMillis - worker.sinceMillis() > RETIRED_MILLIS);
        retired.forEach((worker, gone) -> {
            if (pools.contains(gone.pool())) {
                emptying.computeIfAbsent(gone.pool(), pool -> new HashSet<>()).add(worker);
            }
        });
        evacuated.keySet().forEach(pool -> emptying.putIfAbsent(pool, Set.of()));
        evacuated.clear();
        evacuated.putAll(emptying);
    }

    private void keepOut(Map<String, Set<String>> emptying, MachineView machine) {
        if (pools.contains(machine.pool()) && !machine.worker().isEmpty()) {
            emptying.computeIfAbsent(machine.pool(), pool -> new HashSet<>()).add(machine.worker());
        }
    }

    /**
     * Returns the machines that can be maintained next: those already being emptied first, then those with the least to
     * do.
     */
    private List<MachineView> candidates(WaveRun wave) {
        List<MachineView> candidates = new ArrayList<>();
        for (String name : wave.waiting()) {
            MachineView view = machines.get(name);
            if (view != null && view.up()) {
                candidates.add(view);
            }
        }
        candidates.sort(Comparator.comparing((MachineView view) -> !isEmpty(view))
                .thenComparing(view -> !isBeingEmptied(view))
                .thenComparingLong(this::used)
                .thenComparing(MachineView::name));
        return candidates;
    }

    private boolean isBeingEmptied(MachineView view) {
        return evacuated.getOrDefault(view.pool(), Set.of()).contains(view.worker());
    }

    private long used(MachineView view) {
        PoolAnswer answer = answers.get(view.pool());
        PoolLoad.WorkerLoad load =
                answer == null ? null : answer.load().workers().get(view.worker());
        return load == null ? 0 : load.usedMillis() + (load.lasting() ? view.cpuMillis() : 0);
    }

    private boolean isEmpty(MachineView view) {
        if (!pools.contains(view.pool())) {
            return true;
        }
        PoolAnswer answer = answers.get(view.pool());
        if (answer == null || !answer.evacuated().contains(view.worker())) {
            return false;
        }
        PoolLoad.WorkerLoad load = answer.load().workers().get(view.worker());
        return load != null && load.empty();
    }

    private void ask(long nowMillis) {
        if (nowMillis - lastAskMillis < ASK_MILLIS) {
            return;
        }
        lastAskMillis = nowMillis;
        for (Map.Entry<String, Set<String>> entry : evacuated.entrySet()) {
            PoolAnswer answer = answers.get(entry.getKey());
            boolean settled = entry.getValue().isEmpty()
                    && answer != null
                    && answer.evacuated().isEmpty();
            if (!settled) {
                actions.evacuate(entry.getKey(), Set.copyOf(entry.getValue()));
            }
        }
    }

    /**
     * A worker whose life was ended by an order; the registry may list it for a while.
     */
    private record Retired(String pool, long sinceMillis) {}

    /**
     * A pool's load, and which workers it was emptying then.
     */
    private record PoolAnswer(Set<String> evacuated, PoolLoad load) {}
}
