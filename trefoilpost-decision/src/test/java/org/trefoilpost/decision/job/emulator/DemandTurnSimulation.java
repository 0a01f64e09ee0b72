package org.trefoilpost.decision.job.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.decision.job.PoolDemand;
import org.trefoilpost.decision.job.PoolInstructions;
import org.trefoilpost.decision.job.SubmitResult;
import org.trefoilpost.decision.job.fleet.FleetPlanner;
import org.trefoilpost.decision.job.fleet.MachineView;
import org.trefoilpost.decision.job.fleet.OrderOutcome;

/**
 * Simulates a pool whose demand rises within an instant from a twentieth of its mean to five times the mean, holds for
 * some seconds and falls again, while the pool gets machines from a spare pool and returns them. Callers submit their jobs
 * again after a refusal until their deadline.
 */
public final class DemandTurnSimulation extends FleetWithoutUpkeep {
    private static final String QUEUE = "queue";
    private static final String POOL = "pool";
    private static final String SPARE = "spare";
    private static final int MACHINES = 60;
    private static final int FIRST_MACHINES = 6;
    private static final long MACHINE_CPU_MILLIS = 16_000;
    private static final long MOVE_MILLIS = 1_500;
    /** Time from the start of a worker until the pool's owner knows of it. */
    private static final long REGISTRATION_MILLIS = 200;

    private static final long CALL_MILLIS = 5;
    private static final long TICK_MILLIS = 20;
    private static final long LOW_LOAD_MILLIS = 12_000;
    private static final long TURN_MILLIS = 8_000;
    private static final long END_MILLIS = 40_000;
    private static final long CALLER_DEADLINE_MILLIS = 3_000;
    private static final double ESTIMATE_DEVIATION = 0.2;
    private static final double OBJECTIVE_FACTOR = 1.6;
    private static final long OBJECTIVE_ALLOWANCE_MILLIS = 600;

    private final EmulatedPlatform platform;
    private final VirtualTime time;
    private final Random random;
    private final FleetPlanner planner = new FleetPlanner(this, 200);
    private final Map<String, Machine> machines = new TreeMap<>();
    private final List<Caller> callers = new ArrayList<>();
    private final double turnMachines;
    private double machineSeconds;
    private int moves;

    private DemandTurnSimulation(long seed, double turnMachines) {
        this.platform = new EmulatedPlatform(seed, 0, OBJECTIVE_FACTOR, OBJECTIVE_ALLOWANCE_MILLIS);
        this.time = platform.time();
        this.random = new Random(seed);
        this.turnMachines = turnMachines;
        planner.configure(Set.of(POOL), Set.of(SPARE));
        for (int i = 0; i < MACHINES; i++) {
            Machine machine = new Machine(String.format("m%03d", i));
            machines.put(machine.name, machine);
            if (i < FIRST_MACHINES) {
                machine.pool = POOL;
                machine.worker = platform.addWorker();
            }
        }
    }

    /**
     * Simulates one turn of demand.
     *
     * @param seed  the seed of jobs and faults
     * @param turnMachines  the demand during the turn, in machines that it would keep fully busy
     * @return the result, not null
     */
    public static Result run(long seed, double turnMachines) {
        return new DemandTurnSimulation(seed, turnMachines).run();
    }

    private Result run() {
        double jobCoreMillis = RandomJob.MEAN_CORE_SECONDS * 1_000;
        double turnJobsPerMilli = turnMachines * MACHINE_CPU_MILLIS / 1_000.0 / jobCoreMillis;
        for (long at = 0; at < END_MILLIS - 10_000; at++) {
            boolean turn = at >= LOW_LOAD_MILLIS && at < LOW_LOAD_MILLIS + TURN_MILLIS;
            if (random.nextDouble() < turnJobsPerMilli * (turn ? 1 : 0.01)) {
                Caller caller = new Caller(callers.size() + 1, turn);
                callers.add(caller);
                time.schedule(at, caller::begin);
            }
        }
        tick();
        time.runFor(END_MILLIS);
        double submitted = 0;
        double inTime = 0;
        double refused = 0;
        for (Caller caller : callers) {
            if (caller.inTurn) {
                submitted += caller.job.work();
                inTime += caller.completionMillis() <= caller.objectiveMillis ? caller.job.work() : 0;
                refused += caller.refused ? caller.job.work() : 0;
            }
        }
        return new Result(
                inTime / submitted,
                refused / submitted,
                machineSeconds,
                moves,
                String.join("\n", platform.checks().violations()));
    }

    private void tick() {
        for (Machine machine : machines.values()) {
            machineSeconds += machine.pool.equals(SPARE) ? 0 : TICK_MILLIS / 1_000.0;
        }
        planner.tick(true, time.moment());
        time.schedule(TICK_MILLIS, this::tick);
    }

    @Override
    public void listMachines() {
        List<MachineView> views = new ArrayList<>();
        for (Machine machine : machines.values()) {
            views.add(
                    new MachineView(machine.name, machine.pool, machine.up, false, machine.worker, MACHINE_CPU_MILLIS));
        }
        long requestedMillis = time.nowMillis();
        time.schedule(CALL_MILLIS, () -> planner.machinesListed(views, requestedMillis, time.moment()));
    }

    @Override
    public void instruct(String pool, PoolInstructions instructions) {
        time.schedule(CALL_MILLIS, () -> {
            platform.owner().scheduler().instruct(instructions);
            PoolDemand demand = platform.owner().scheduler().demand(time.moment());
            time.schedule(CALL_MILLIS, () -> planner.load(pool, instructions.evacuating(), demand, time.moment()));
        });
    }

    @Override
    public void move(String machine, String pool) {
        moves++;
        Machine moved = machines.get(machine);
        if (!moved.worker.isEmpty()) {
            platform.crash(platform.worker(moved.worker));
        }
        moved.worker = "";
        moved.pool = pool;
        moved.up = false;
        time.schedule(CALL_MILLIS, () -> planner.orderAnswered(machine, OrderOutcome.DONE, time.moment()));
        time.schedule(MOVE_MILLIS, () -> {
            moved.up = true;
            if (pool.equals(POOL)) {
                time.schedule(REGISTRATION_MILLIS, () -> moved.worker = platform.addWorker());
            }
        });
    }

    @Override
    public void logDecision(Decision decision) {
        platform.recordDecision(decision);
    }

    /**
     * The outcome of a turn.
     *
     * @param inTime  the share of the turn's work that was completed within its time objective
     * @param refused  the share of the turn's work whose last submission was refused
     * @param machineSeconds  the time that machines spent in the pool, in seconds
     * @param moves  the number of moves
     * @param violations  the violated invariants, a line each, empty if there are none, not null
     */
    public record Result(double inTime, double refused, double machineSeconds, int moves, String violations) {}

    private static final class Machine {
        private final String name;
        private String pool = SPARE;
        private String worker = "";
        private boolean up = true;

        Machine(String name) {
            this.name = name;
        }
    }

    /**
     * A caller with one job, who submits it again after each refusal until its deadline.
     */
    private final class Caller {
        private final RandomJob job;
        private final long objectiveMillis;
        private final boolean inTurn;
        private long submittedMillis;
        private boolean refused;

        Caller(int number, boolean inTurn) {
            this.inTurn = inTurn;
            job = RandomJob.draw(number, QUEUE, ESTIMATE_DEVIATION, random);
            objectiveMillis = (long) (OBJECTIVE_FACTOR * job.criticalPathMillis()) + OBJECTIVE_ALLOWANCE_MILLIS;
        }

        void begin() {
            submittedMillis = time.nowMillis();
            submit();
        }

        private void submit() {
            SubmitResult answer = platform.submitJob(job.spec(), job::durationMillis);
            refused = answer.kind() == SubmitResult.Kind.REFUSED;
            long retryMillis = time.nowMillis() + answer.retryAfterMillis();
            if (refused && retryMillis < submittedMillis + CALLER_DEADLINE_MILLIS) {
                time.schedule(answer.retryAfterMillis(), this::submit);
            }
        }

        long completionMillis() {
            return platform.completedMillis(job.spec().id()).isPresent()
                    ? platform.completedMillis(job.spec().id()).getAsLong() - submittedMillis
                    : Long.MAX_VALUE;
        }
    }
}
