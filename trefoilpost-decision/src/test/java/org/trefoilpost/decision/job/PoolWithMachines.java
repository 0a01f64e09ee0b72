package org.trefoilpost.decision.job;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.trefoilpost.decision.job.emulator.FleetWithoutUpkeep;
import org.trefoilpost.decision.job.fleet.FleetPlanner;
import org.trefoilpost.decision.job.fleet.MachineView;
import org.trefoilpost.decision.job.fleet.OrderOutcome;

/**
 * A pool with fake workers on machines that a fleet planner moves to a spare pool and back. A machine that comes back has a new
 * worker.
 */
final class PoolWithMachines extends FleetWithoutUpkeep {
    private static final String POOL = "pool";
    private static final String SPARE = "spare";
    private static final long MACHINE_CPU_MILLIS = 4_000;
    private static final long MOVE_MILLIS = 1_500;

    private final PoolWithFakeWorkers pool;
    private final FleetPlanner planner = new FleetPlanner(this, 64);
    private final Map<String, MachineView> machines = new TreeMap<>();
    private final Map<String, Long> arrivalMillis = new TreeMap<>();
    private int moves;

    /**
     * Constructs a pool with all of the machines.
     */
    PoolWithMachines(int count) {
        pool = new PoolWithFakeWorkers(count, 0);
        for (int i = 1; i <= count; i++) {
            machines.put("m" + i, new MachineView("m" + i, POOL, true, false, "w" + i, MACHINE_CPU_MILLIS));
        }
        planner.configure(Set.of(POOL), Set.of(SPARE));
    }

    PoolWithFakeWorkers pool() {
        return pool;
    }

    /** Returns the number of moves that were ordered. */
    int moves() {
        return moves;
    }

    /** Moves the time on, and lets the pool and the planner act. */
    void advance(long millis) {
        for (long passed = 0; passed < millis; passed += PoolWithFakeWorkers.STEP_MILLIS) {
            pool.advance(PoolWithFakeWorkers.STEP_MILLIS);
            arrivalMillis.entrySet().removeIf(arrival -> {
                boolean arrived = pool.now().steadyMillis() >= arrival.getValue();
                if (arrived) {
                    machines.computeIfPresent(arrival.getKey(), (name, machine) -> arrived(machine));
                }
                return arrived;
            });
            planner.tick(true, pool.now());
        }
    }

    private MachineView arrived(MachineView machine) {
        String worker = machine.pool().equals(POOL) ? pool.addWorker(machine.name()) : "";
        return new MachineView(machine.name(), machine.pool(), true, false, worker, MACHINE_CPU_MILLIS);
    }

    @Override
    public void listMachines() {
        planner.machinesListed(List.copyOf(machines.values()), pool.now().steadyMillis(), pool.now());
    }

    @Override
    public void instruct(String name, PoolInstructions instructions) {
        pool.scheduler().instruct(instructions);
        planner.load(name, instructions.evacuating(), pool.scheduler().demand(pool.now()), pool.now());
    }

    @Override
    public void move(String machine, String target) {
        moves++;
        String worker = machines.get(machine).worker();
        if (!worker.isEmpty()) {
            pool.lose(worker);
            pool.endLostWorkers();
        }
        machines.put(machine, new MachineView(machine, target, false, false, "", MACHINE_CPU_MILLIS));
        arrivalMillis.put(machine, pool.now().steadyMillis() + MOVE_MILLIS);
        planner.orderAnswered(machine, OrderOutcome.DONE, pool.now());
    }

    @Override
    public void logDecision(Decision decision) {}
}
