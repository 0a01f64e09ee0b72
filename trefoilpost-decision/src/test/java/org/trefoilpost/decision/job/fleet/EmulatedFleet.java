package org.trefoilpost.decision.job.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
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
    /** The moves that were decided, as {@code FROM to TO: MACHINE}. */
    final List<String> decidedMoves = new ArrayList<>();

    final Map<Long, String> storedWaves = new HashMap<>();
    FleetPlanner planner = new FleetPlanner(this, 64);
    OrderOutcome nextOutcome = OrderOutcome.DONE;
    boolean busyWorkers;
    /** The machines whose pools keep their workers for waiting steps. */
    final Set<String> awaited = new HashSet<>();
    /** The times that the workers of machines with long-running tasks take to be emptied, by machine. */
    final Map<String, Long> emptyingMillis = new HashMap<>();

    private final Map<String, Long> evacuatingSinceMillis = new HashMap<>();
    boolean storeDown;
    boolean ordersAllowed = true;
    /** The outcome of orders for a machine that has gone. */
    OrderOutcome goneOutcome = OrderOutcome.REJECTED;
    /** The machines that lists lack though they are there. */
    final Set<String> unlisted = new HashSet<>();
    /** The outcomes of the next orders for a machine, which go before {@link #nextOutcome}. */
    final Map<String, Deque<OrderOutcome>> outcomes = new HashMap<>();
    /** The time after which an order without an answer is carried out all the same; it is not if empty. */
    OptionalLong lateOrderMillis = OptionalLong.empty();
    /** The waves whose progress cannot be stored. */
    final Set<Long> unstorableWaves = new HashSet<>();
    /** The upkeeps that have begun, as machine and wave. */
    final Set<String> begunUpkeeps = new HashSet<>();
    /** The machines that were missing an upkeep when their wave was stored as completed. */
    final List<String> completedTooEarly = new ArrayList<>();

    private final Map<Long, List<String>> requests = new HashMap<>();
    private final Set<Long> unansweredWaves = new HashSet<>();
    private final Map<Long, Long> revisions = new HashMap<>();
    /** The machines that came back after they had gone, and that no list has shown since. */
    private final Set<String> unseenMachines = new HashSet<>();

    private final Map<Long, Integer> limits = new HashMap<>();
    private final List<LateOrder> lateOrders = new ArrayList<>();
    private Set<String> runningPools = Set.of();
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
        requests.put(number, names);
        limits.put(number, atOnce);
        planner.addWave(number, names, moment().plus(withinMillis), atOnce, moment());
    }

    /**
     * Returns a machine that had gone to its pool, with a new worker.
     */
    void comeBack(MachineView gone) {
        unseenMachines.add(gone.name());
        machines.put(
                gone.name(), new MachineView(gone.name(), gone.pool(), true, false, newWorkerId(), MACHINE_CPU_MILLIS));
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
        carryOutLateOrders();
        planner.tick(ordersAllowed, moment());
    }

    Moment moment() {
        return new Moment(nowMillis, nowMillis);
    }

    @Override
    public void listMachines() {
        listedMachines().forEach(machine -> unseenMachines.remove(machine.name()));
        planner.machinesListed(listedMachines(), nowMillis, moment());
    }

    List<MachineView> listedMachines() {
        return machines.values().stream()
                .filter(machine -> !unlisted.contains(machine.name()))
                .toList();
    }

    @Override
    public void instruct(String pool, PoolInstructions instructions) {
        Map<String, PoolDemand.WorkerUsage> workers = new HashMap<>();
        Set<String> awaitedWorkers = new HashSet<>();
        for (MachineView machine : machines.values()) {
            if (machine.pool().equals(pool) && machine.up()) {
                if (awaited.contains(machine.name())) {
                    awaitedWorkers.add(machine.worker());
                }
                boolean evacuating = instructions.evacuating().contains(machine.worker());
                boolean hasLongRunning = hasLongRunning(machine, evacuating);
                boolean empty = evacuating && !busyWorkers && !hasLongRunning;
                workers.put(machine.worker(), new PoolDemand.WorkerUsage(0, hasLongRunning, empty, !evacuating));
            }
        }
        PoolDemand demand = new PoolDemand(needs.getOrDefault(pool, 0.0), workers, awaitedWorkers);
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
        answerOrder(machine, () -> {
            begunUpkeeps.add(upkeep(machine, wave));
            takeDown(machine, UPKEEP_MILLIS, machines.get(machine).pool(), true);
        });
    }

    @Override
    public void move(String machine, String pool) {
        orders.add("move " + machine + " " + pool);
        moves++;
        answerOrder(machine, () -> takeDown(machine, MOVE_MILLIS, pool, false));
    }

    private void answerOrder(String machine, Runnable effect) {
        Deque<OrderOutcome> next = outcomes.getOrDefault(machine, new ArrayDeque<>());
        OrderOutcome outcome = next.isEmpty() ? nextOutcome : next.poll();
        if (!machines.containsKey(machine)) {
            outcome = goneOutcome;
        } else if (outcome == OrderOutcome.DONE && !machines.get(machine).up()) {
            outcome = OrderOutcome.BUSY;
        }
        if (outcome == OrderOutcome.DONE) {
            effect.run();
        } else if (outcome == OrderOutcome.UNKNOWN && lateOrderMillis.isPresent()) {
            lateOrders.add(new LateOrder(machine, nowMillis + lateOrderMillis.getAsLong(), effect));
        }
        planner.orderAnswered(machine, outcome, moment());
    }

    private void carryOutLateOrders() {
        for (LateOrder order : List.copyOf(lateOrders)) {
            if (nowMillis >= order.atMillis()) {
                lateOrders.remove(order);
                MachineView machine = machines.get(order.machine());
                if (machine != null && machine.up()) {
                    order.effect().run();
                }
            }
        }
    }

    /**
     * Replaces the owner by one that knows only what is stored and what the operators request.
     */
    void takeOver(long withinMillis) {
        planner = new FleetPlanner(this, 64);
        unansweredWaves.clear();
        configure(runningPools);
        storedWaves.forEach((wave, state) -> planner.load(wave, state, revisions.get(wave)));
        requests.forEach(
                (wave, names) -> planner.addWave(wave, names, moment().plus(withinMillis), limits.get(wave), moment()));
    }

    private void takeDown(String machine, long millis, String pool, boolean upkeep) {
        machines.put(machine, new MachineView(machine, pool, false, upkeep, "", MACHINE_CPU_MILLIS));
        backAtMillis.put(machine, nowMillis + millis);
        int down = 0;
        for (MachineView view : machines.values()) {
            down += view.inUpkeep() ? 1 : 0;
        }
        maxDown = Math.max(maxDown, down);
    }

    private static String upkeep(String machine, long wave) {
        return machine + " in wave " + wave;
    }

    @Override
    public void storeWave(long wave, String state, long revision, boolean completed) {
        if (storeDown || unstorableWaves.contains(wave)) {
            unansweredWaves.add(wave);
            return;
        }
        firstStoreRevision = firstStoreRevision < 0 ? revision : firstStoreRevision;
        storedWaves.put(wave, state);
        if (completed) {
            checkCompleted(wave);
        }
        revisions.put(wave, revision + 1);
        planner.waveStored(wave, state, revision + 1, moment());
    }

    private void checkCompleted(long wave) {
        for (String machine : requests.get(wave)) {
            boolean there = machines.containsKey(machine) && !unseenMachines.contains(machine);
            if (there && !begunUpkeeps.contains(upkeep(machine, wave))) {
                completedTooEarly.add(upkeep(machine, wave));
            }
        }
    }

    /**
     * Answers a change of a wave's progress that got no answer, as failed.
     */
    void storeAgain(long wave) {
        if (unansweredWaves.remove(wave)) {
            planner.waveStoreFailed(wave);
        }
    }

    Set<Long> requestedWaves() {
        return requests.keySet();
    }

    boolean isCompleted(long wave) {
        return storedWaves.getOrDefault(wave, "").endsWith("true");
    }

    @Override
    public void ownershipLost(String machine) {
        orders.add("fenced " + machine);
    }

    @Override
    public void logDecision(Decision decision) {
        if (decision.name().equals("move-decided")) {
            Map<String, Object> move = decision.inputs();
            decidedMoves.add(move.get("from") + " to " + move.get("to") + ": " + move.get("machine"));
        }
    }

    void configure(Set<String> pools) {
        runningPools = pools;
        planner.configure(pools, Set.of("spare"));
    }

    private record LateOrder(String machine, long atMillis, Runnable effect) {}
}
