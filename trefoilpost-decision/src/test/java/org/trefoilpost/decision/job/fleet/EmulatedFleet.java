package org.trefoilpost.decision.job.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.decision.job.Moment;
import org.trefoilpost.decision.job.PoolDemand;
import org.trefoilpost.decision.job.PoolInstructions;

/**
 * Emulates machines in virtual time that carry out the orders of a {@link FleetPlanner}.
 */
final class EmulatedFleet implements FleetActions {
    static final long MOVE_MILLIS = 1_500;
    static final long UPKEEP_MILLIS = 2_000;

    private static final long MACHINE_CPU_MILLIS = 32_000;

    final Map<String, MachineView> machines = new TreeMap<>();
    final Map<String, Double> needs = new HashMap<>();
    final List<String> orders = new ArrayList<>();
    final Map<Long, String> storedWaves = new HashMap<>();
    final FleetPlanner planner = new FleetPlanner(this, 64);
    OrderOutcome nextOutcome = OrderOutcome.DONE;
    boolean busyWorkers;
    /** The times that the workers of machines with long-running tasks take to be emptied, by machine. */
    final Map<String, Long> emptyingMillis = new HashMap<>();

    private final Map<String, Long> evacuatingSinceMillis = new HashMap<>();
    boolean storeDown;
    boolean ordersAllowed = true;
    int maxDown;
    int moves;
    long firstStoreRevision = -1;
    private final Map<String, Long> backAtMillis = new HashMap<>();
    private long nowMillis = 100_000;
    private int lastWorker;

    void add(String pool, int count) {
        for (int i = 0; i < count; i++) {
            String name = "m" + machines.size();
            machines.put(name, new MachineView(name, pool, true, false, newWorkerId(), MACHINE_CPU_MILLIS));
        }
    }

    void addWave(long number, List<String> names, long withinMillis, int atOnce) {
        planner.addWave(number, names, moment().plus(withinMillis), atOnce, moment());
    }

    private String newWorkerId() {
        return "w" + (++lastWorker);
    }

    long nowMillis() {
        return nowMillis;
    }

    int countUp(String pool) {
        int count = 0;
        for (MachineView machine : machines.values()) {
            count += machine.pool().equals(pool) && machine.up() ? 1 : 0;
        }
        return count;
    }

    void runFor(long millis) {
        for (long end = nowMillis + millis; nowMillis < end; nowMillis += 20) {
            step();
        }
    }

    void step() {
        backAtMillis.entrySet().removeIf(entry -> {
            boolean back = nowMillis >= entry.getValue();
            if (back) {
                machines.computeIfPresent(
                        entry.getKey(),
                        (name, old) ->
                                new MachineView(name, old.pool(), true, false, newWorkerId(), MACHINE_CPU_MILLIS));
            }
            return back;
        });
        planner.tick(ordersAllowed, moment());
    }

    private Moment moment() {
        return new Moment(nowMillis, nowMillis);
    }

    @Override
    public void listMachines() {
        planner.machinesListed(List.copyOf(machines.values()), nowMillis, moment());
    }

    @Override
    public void instruct(String pool, PoolInstructions instructions) {
        Map<String, PoolDemand.WorkerUsage> workers = new HashMap<>();
        for (MachineView machine : machines.values()) {
            if (machine.pool().equals(pool) && machine.up()) {
                boolean evacuating = instructions.evacuating().contains(machine.worker());
                boolean hasLongRunning = hasLongRunning(machine, evacuating);
                boolean empty = evacuating && !busyWorkers && !hasLongRunning;
                workers.put(machine.worker(), new PoolDemand.WorkerUsage(0, hasLongRunning, empty, !evacuating));
            }
        }
        PoolDemand demand = new PoolDemand(needs.getOrDefault(pool, 0.0), workers);
        planner.load(pool, instructions.evacuating(), demand, moment());
    }

    private boolean hasLongRunning(MachineView machine, boolean evacuating) {
        if (!emptyingMillis.containsKey(machine.name())) {
            return false;
        }
        if (!evacuating) {
            evacuatingSinceMillis.remove(machine.worker());
            return true;
        }
        long since = evacuatingSinceMillis.computeIfAbsent(machine.worker(), worker -> nowMillis);
        return nowMillis - since < emptyingMillis.get(machine.name());
    }

    @Override
    public void beginUpkeep(String machine, long wave) {
        orders.add("upkeep " + machine);
        answerOrder(machine, UPKEEP_MILLIS, machines.get(machine).pool(), true);
    }

    @Override
    public void move(String machine, String pool) {
        orders.add("move " + machine + " " + pool);
        moves++;
        answerOrder(machine, MOVE_MILLIS, pool, false);
    }

    private void answerOrder(String machine, long millis, String pool, boolean upkeep) {
        if (nextOutcome == OrderOutcome.DONE) {
            machines.put(machine, new MachineView(machine, pool, false, upkeep, "", MACHINE_CPU_MILLIS));
            backAtMillis.put(machine, nowMillis + millis);
            int down = 0;
            for (MachineView view : machines.values()) {
                down += view.inUpkeep() ? 1 : 0;
            }
            maxDown = Math.max(maxDown, down);
        }
        planner.orderAnswered(machine, nextOutcome, moment());
    }

    @Override
    public void storeWave(long wave, String state, long revision, boolean completed) {
        if (storeDown) {
            return;
        }
        firstStoreRevision = firstStoreRevision < 0 ? revision : firstStoreRevision;
        storedWaves.put(wave, state);
        planner.waveStored(wave, state, revision + 1, moment());
    }

    @Override
    public void ownershipLost(String machine) {
        orders.add("fenced " + machine);
    }

    @Override
    public void logDecision(Decision decision) {
        // Decisions are not checked here.
    }

    void configure(Set<String> pools) {
        planner.configure(pools, Set.of("spare"));
    }
}
