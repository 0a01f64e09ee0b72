package org.trefoilpost.decision.job.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.decision.job.Moment;
import org.trefoilpost.decision.job.PoolDemand;

/**
 * Decides which machines of the waves are emptied and maintained next.
 */
final class UpkeepPlanner {
    /** Number of machines that are emptied in advance, beyond those that may be down. */
    private static final int EXTRA_EMPTYING_MACHINES = 1;

    private final FleetActions actions;
    private final FleetView view;
    private final OrderRateLimiter rateLimiter;
    private final Map<Long, WaveProgress> waves = new TreeMap<>();
    /** The times from which machines count as down for their upkeep, until a later list shows them up. */
    private final Map<String, Long> downSinceMillis = new HashMap<>();

    private final UpkeepRetries retries = new UpkeepRetries();
    private final Set<String> emptying = new HashSet<>();
    private final MissingMachines missing = new MissingMachines();

    UpkeepPlanner(FleetActions actions, FleetView view, OrderRateLimiter rateLimiter) {
        this.actions = actions;
        this.view = view;
        this.rateLimiter = rateLimiter;
    }

    void loadWave(long number, String state, long revision) {
        waves.computeIfAbsent(number, WaveProgress::new).loadState(state, revision);
    }

    void addWave(long number, List<String> machines, Moment deadline, int atOnce, Moment now) {
        WaveProgress wave = waves.computeIfAbsent(number, WaveProgress::new);
        if (wave.request(machines, deadline, atOnce, now)) {
            wave.orderedMachines.forEach(machine -> downSinceMillis.putIfAbsent(machine, now.steadyMillis()));
        }
    }

    void withdrawWave(long number) {
        Optional.ofNullable(waves.get(number)).ifPresent(WaveProgress::withdraw);
    }

    boolean isActive() {
        return waves.values().stream().anyMatch(WaveProgress::isOpen);
    }

    /**
     * Returns whether the upkeep of a machine is ordered or the machine is down for it, so that it must not be moved.
     */
    boolean isDownOrOrdered(MachineView machine) {
        return downSinceMillis.containsKey(machine.name()) || isUpkeepOrdered(machine.name());
    }

    /**
     * Returns whether a machine is being emptied for its upkeep, so that its pool is about to lose it.
     */
    boolean isEmptying(MachineView machine) {
        return emptying.contains(machine.name());
    }

    void machinesWithWorkers(Set<String> machines) {
        missing.setMachinesWithWorkers(machines);
    }

    /**
     * Updates the waves after a new list of machines. A list that was requested before a wave was known is no evidence against
     * the wave's machines.
     */
    void machinesListed(long requestedMillis, long nowMillis) {
        countMissing(requestedMillis);
        for (WaveProgress wave : waves.values()) {
            for (String machine : wave.machines) {
                updateMachine(wave, machine, requestedMillis, nowMillis);
            }
        }
        downSinceMillis.entrySet().removeIf(entry -> isBack(entry.getKey(), entry.getValue(), requestedMillis));
    }

    private void countMissing(long requestedMillis) {
        Set<String> unlisted = new HashSet<>();
        for (WaveProgress wave : waves.values()) {
            for (String machine : wave.machines) {
                if (view.machine(machine).isPresent()) {
                    missing.listed(machine);
                } else if (requestedMillis > wave.requestedMillis && unlisted.add(machine)) {
                    missing.notListed(machine);
                }
            }
        }
    }

    private void updateMachine(WaveProgress wave, String machine, long requestedMillis, long nowMillis) {
        if (view.machine(machine).isPresent()) {
            if (wave.goneMachines.remove(machine)) {
                wave.dirty = true;
                logMachine("machine-back", wave, machine, nowMillis);
            }
        } else if (requestedMillis > wave.requestedMillis
                && missing.hasGone(machine, requestedMillis)
                && wave.goneMachines.add(machine)) {
            wave.orderedMachines.remove(machine);
            wave.dirty = true;
            logMachine("machine-gone", wave, machine, nowMillis);
        }
    }

    /**
     * Returns whether a machine is no longer down. One that lists lack may still be, until its upkeep must have ended.
     */
    private boolean isBack(String machine, long downSince, long requestedMillis) {
        boolean ended = requestedMillis - downSince >= MissingMachines.MAX_OUT_OF_SERVICE_MILLIS;
        return requestedMillis > downSince
                && view.machine(machine).map(MachineView::up).orElse(ended)
                && !isUpkeepOrdered(machine)
                && !view.hasOrderInFlight(machine);
    }

    /**
     * Returns whether the upkeep of a machine has been ordered.
     */
    boolean isUpkeepOrdered(String machine) {
        return waves.values().stream().anyMatch(wave -> wave.requested && wave.orderedMachines.contains(machine));
    }

    /**
     * Handles the outcome of an upkeep order.
     *
     * @param number  the number of the wave for which the upkeep was ordered
     */
    void orderAnswered(String machine, long number, OrderOutcome outcome, long nowMillis) {
        WaveProgress wave = waves.get(number);
        switch (outcome) {
            case DONE -> upkeepBegun(wave, machine, nowMillis);
            case REJECTED -> upkeepRejected(wave, machine, nowMillis);
            case BUSY -> {
                missing.refused(machine, nowMillis);
                retries.failed(machine, nowMillis);
            }
            // The order may be carried out, or says nothing of the machine.
            default -> retries.failed(machine, nowMillis);
        }
    }

    private void upkeepBegun(WaveProgress wave, String machine, long nowMillis) {
        retries.succeeded(machine);
        wave.orderedMachines.remove(machine);
        wave.doneMachines.add(machine);
        wave.dirty = true;
        downSinceMillis.put(machine, nowMillis);
        view.machine(machine).ifPresent(known -> view.retire(known, nowMillis));
        logMachine("machine-counted-done", wave, machine, nowMillis);
    }

    /**
     * Handles a rejected order, which ends no upkeep: the platform may not know the wave yet.
     */
    private void upkeepRejected(WaveProgress wave, String machine, long nowMillis) {
        missing.refused(machine, nowMillis);
        retries.rejected(machine, nowMillis);
        wave.orderedMachines.remove(machine);
        wave.dirty = true;
        downSinceMillis.remove(machine);
        logMachine("upkeep-rejected", wave, machine, nowMillis);
    }

    private void logMachine(String event, WaveProgress wave, String machine, long nowMillis) {
        actions.logDecision(Decision.of(event)
                .with("wave", wave.number)
                .with("machine", machine)
                .with("listed", view.machine(machine).isPresent())
                .with("listsWithoutMachine", missing.listsWithout(machine))
                .with("machinesListed", view.machines().size())
                .with("listAgeMillis", nowMillis - view.listRequestedMillis()));
    }

    void waveStored(long number, String state, long revision, long nowMillis) {
        WaveProgress wave = waves.get(number);
        wave.stateStored(state, revision);
        actions.logDecision(Decision.of("wave-stored")
                .with("wave", number)
                .with("completed", wave.completedStored)
                .with("machines", wave.machines.size())
                .with("done", wave.doneMachines.size())
                .with("gone", wave.goneMachines.size())
                .with("ordered", wave.orderedMachines.size())
                .with("machinesListed", view.machines().size())
                .with("listAgeMillis", nowMillis - view.listRequestedMillis())
                .with("revision", revision));
    }

    void waveRevisionChanged(long number, long revision) {
        waves.get(number).revision = revision;
        waveStoreFailed(number);
    }

    void waveStoreFailed(long number) {
        WaveProgress wave = waves.get(number);
        wave.storing = false;
        wave.dirty = true;
    }

    /**
     * Chooses machines, sends the orders that are stored, and stores the progress that has changed.
     *
     * @param shortage  true if pools wait for machines, so that no more machines than necessary are to be down
     * @param isMoveOrdered  tells whether the move of a machine may still be carried out, so that it gets no other order
     * @param nowMillis  the current time on the steady clock, in milliseconds
     * @return the machines to evacuate
     */
    List<MachineView> tick(boolean shortage, Predicate<String> isMoveOrdered, long nowMillis) {
        List<MachineView> evacuating = new ArrayList<>();
        emptying.clear();
        for (WaveProgress wave : waves.values()) {
            if (wave.isOpen()) {
                chooseMachines(wave, shortage, isMoveOrdered, evacuating, nowMillis);
                sendStoredOrders(wave, isMoveOrdered, nowMillis);
                storeIfDirty(wave);
            }
        }
        return evacuating;
    }

    private void chooseMachines(
            WaveProgress wave,
            boolean shortage,
            Predicate<String> isMoveOrdered,
            List<MachineView> evacuating,
            long nowMillis) {
        int down = countDown(wave);
        down += orderMissing(wave, down, isMoveOrdered, nowMillis);
        List<MachineView> candidates = candidates(wave, isMoveOrdered, nowMillis);
        int empty = shortage ? (int) candidates.stream().filter(view::isEmpty).count() : 0;
        int atOnce = wave.requiredAtOnce(empty, nowMillis);
        int emptyingCount = emptyLongRunning(wave, candidates, evacuating, nowMillis);
        for (MachineView machine : candidates) {
            if (emptying.contains(machine.name())) {
                continue;
            }
            if (view.isEmpty(machine) && down < atOnce && retries.isDue(machine.name(), nowMillis)) {
                down++;
                order(wave, machine.name(), nowMillis);
                evacuating.add(machine);
            } else if (emptyingCount + down < atOnce + EXTRA_EMPTYING_MACHINES) {
                emptyingCount++;
                emptying.add(machine.name());
                evacuating.add(machine);
            }
        }
        wave.orderedMachines.forEach(machine -> view.machine(machine).ifPresent(evacuating::add));
    }

    private void order(WaveProgress wave, String machine, long nowMillis) {
        wave.orderedMachines.add(machine);
        wave.dirty = true;
        downSinceMillis.put(machine, nowMillis);
    }

    /**
     * Orders the upkeep of machines that lists lack and on which no worker is registered. The platform refuses it if they
     * have gone, and begins it if the lists were incomplete.
     *
     * @return the number of machines ordered
     */
    private int orderMissing(WaveProgress wave, int down, Predicate<String> isMoveOrdered, long nowMillis) {
        List<String> machines = wave.waitingMachines().stream()
                .filter(machine -> missing.isMissing(machine)
                        && retries.isDue(machine, nowMillis)
                        && isFree(machine, isMoveOrdered))
                .limit(Math.max(0, wave.atOnce - down))
                .toList();
        machines.forEach(machine -> order(wave, machine, nowMillis));
        return machines.size();
    }

    /**
     * Returns whether no order for a machine may still be carried out.
     */
    private boolean isFree(String machine, Predicate<String> isMoveOrdered) {
        return !isMoveOrdered.test(machine) && !isUpkeepOrdered(machine) && !view.hasOrderInFlight(machine);
    }

    /**
     * Empties machines with long-running tasks from the beginning of a wave, as many at a time as the deadline requires.
     * They take the longest, since a task must be ready elsewhere before the next of its step is stopped, and would otherwise
     * come last, one after the other.
     *
     * @return the number of machines
     */
    private int emptyLongRunning(
            WaveProgress wave, List<MachineView> candidates, List<MachineView> evacuating, long nowMillis) {
        List<MachineView> hosts =
                candidates.stream().filter(this::hasLongRunning).toList();
        int count = Math.min(hosts.size(), wave.requiredAtOnce(0, hosts.size(), nowMillis));
        for (MachineView host : hosts.subList(0, count)) {
            emptying.add(host.name());
            evacuating.add(host);
        }
        return count;
    }

    private boolean hasLongRunning(MachineView machine) {
        return view.usage(machine).map(PoolDemand.WorkerUsage::hasLongRunning).orElse(false);
    }

    private int countDown(WaveProgress wave) {
        int down = 0;
        for (String machine : wave.machines) {
            boolean isDown = downSinceMillis.containsKey(machine)
                    || view.machine(machine).map(MachineView::inUpkeep).orElse(false);
            down += wave.orderedMachines.contains(machine) || isDown ? 1 : 0;
        }
        return down;
    }

    private void sendStoredOrders(WaveProgress wave, Predicate<String> isMoveOrdered, long nowMillis) {
        for (String machine : wave.storedOrders) {
            boolean due = wave.orderedMachines.contains(machine)
                    && !view.hasOrderInFlight(machine)
                    && !isMoveOrdered.test(machine)
                    && retries.isDue(machine, nowMillis);
            if (due && rateLimiter.tryAcquire(nowMillis)) {
                view.orderSent(machine, MachineOrder.upkeep(wave.number));
                actions.beginUpkeep(machine, wave.number);
            }
        }
    }

    private void storeIfDirty(WaveProgress wave) {
        if (wave.dirty && !wave.storing) {
            boolean completed = wave.isCompleted();
            wave.dirty = false;
            wave.storing = true;
            // Another state may be in the store from now on.
            wave.completedStored &= completed;
            actions.storeWave(wave.number, wave.encodeState(), wave.revision, completed);
        }
    }

    /**
     * Returns the machines that can be maintained next: first the empty ones, then those already being evacuated, then
     * the others, each by ascending processor use; a long-running task counts as the whole machine.
     */
    private List<MachineView> candidates(WaveProgress wave, Predicate<String> isMoveOrdered, long nowMillis) {
        List<MachineView> candidates = new ArrayList<>();
        for (String name : wave.waitingMachines()) {
            if (isFree(name, isMoveOrdered) && !retries.isSetAside(name, nowMillis)) {
                view.machine(name).filter(MachineView::up).ifPresent(candidates::add);
            }
        }
        candidates.sort(Comparator.comparing((MachineView machine) -> !view.isEmpty(machine))
                .thenComparing(machine -> !view.isEvacuating(machine))
                .thenComparingLong(this::usedCpuMillis)
                .thenComparing(MachineView::name));
        return candidates;
    }

    private long usedCpuMillis(MachineView machine) {
        PoolDemand.WorkerUsage usage = view.usage(machine).orElse(null);
        return usage == null ? 0 : usage.usedCpuMillis() + (usage.hasLongRunning() ? machine.cpuMillis() : 0);
    }
}
