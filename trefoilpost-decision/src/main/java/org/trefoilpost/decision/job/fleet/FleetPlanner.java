package org.trefoilpost.decision.job.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.decision.job.Moment;
import org.trefoilpost.decision.job.PoolDemand;
import org.trefoilpost.decision.job.PoolInstructions;

/**
 * Decides on machines: which are emptied and maintained next, and which move between pools.
 */
public final class FleetPlanner {
    private static final long ACTIVE_LIST_INTERVAL_MILLIS = 600;
    private static final long IDLE_LIST_INTERVAL_MILLIS = 3_000;
    private static final long INSTRUCT_INTERVAL_MILLIS = 120;
    private static final long LIST_RETRY_MILLIS = 300;

    private final FleetActions actions;
    private final FleetView view = new FleetView();
    private final UpkeepPlanner upkeepPlanner;
    private final MachineMovePlanner movePlanner;
    private long listRequestedMillis = Long.MIN_VALUE / 2;
    private long lastInstructMillis = Long.MIN_VALUE / 2;

    /**
     * Constructs a plan without waves.
     *
     * @param actions  what carries decisions out, not null
     * @param callsPerSecond  the most orders in a second
     */
    public FleetPlanner(FleetActions actions, double callsPerSecond) {
        OrderRateLimiter pace = new OrderRateLimiter(callsPerSecond);
        this.actions = actions;
        this.upkeepPlanner = new UpkeepPlanner(actions, view, pace);
        this.movePlanner = new MachineMovePlanner(actions, view, upkeepPlanner, pace);
    }

    /**
     * Takes in the pools of the configuration in force.
     *
     * @param running  the pools that run jobs, not null
     * @param spare  the pools whose machines are off, not null
     */
    public void configure(Set<String> running, Set<String> spare) {
        view.configure(running, spare);
    }

    /**
     * Takes in the stored state of a wave.
     *
     * @param number  the wave
     * @param state  the state, not null
     * @param revision  the state's revision
     */
    public void load(long number, String state, long revision) {
        upkeepPlanner.loadWave(number, state, revision);
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
    public void addWave(long number, List<String> wanted, long withinMillis, int atOnce, long nowMillis) {
        upkeepPlanner.addWave(number, wanted, withinMillis, atOnce, nowMillis);
    }

    /**
     * Takes in the list of machines.
     *
     * @param views  the machines, not null
     * @param askedMillis  when the list was asked for, on the steady clock
     * @param now  the present time, not null
     */
    public void machinesListed(List<MachineView> views, long askedMillis, Moment now) {
        view.replaceMachines(views, now.steadyMillis());
        upkeepPlanner.machinesListed(askedMillis);
        movePlanner.machinesListed(askedMillis);
    }

    /**
     * Takes in that the machines could not be listed.
     *
     * @param now  the present time, not null
     */
    public void listFailed(Moment now) {
        listRequestedMillis = now.steadyMillis() - ACTIVE_LIST_INTERVAL_MILLIS + LIST_RETRY_MILLIS;
    }

    /**
     * Takes in a pool's load.
     *
     * @param pool  the pool, not null
     * @param workers  the workers that the pool was asked to empty, not null
     * @param load  the load, not null
     * @param now  the present time, not null
     */
    public void load(String pool, Set<String> workers, PoolDemand load, Moment now) {
        view.load(pool, workers, load, now.steadyMillis());
    }

    /**
     * Takes in the outcome of an order.
     *
     * @param machine  the machine, not null
     * @param outcome  the outcome, not null
     * @param now  the present time, not null
     */
    public void orderAnswered(String machine, OrderOutcome outcome, Moment now) {
        view.machinesWithOrderInFlight().remove(machine);
        boolean maintained = upkeepPlanner.isUpkeepOrdered(machine);
        actions.logDecision(Decision.of("machine-ordered")
                .with("machine", machine)
                .with("order", maintained ? "upkeep" : "move")
                .with("outcome", outcome.name()));
        if (outcome == OrderOutcome.FENCED) {
            actions.ownershipLost(machine);
        } else if (maintained) {
            upkeepPlanner.orderAnswered(machine, outcome, now.steadyMillis());
        } else {
            movePlanner.orderAnswered(machine, outcome, now.steadyMillis());
        }
    }

    /**
     * Takes in that the state of a wave is stored.
     *
     * @param number  the wave
     * @param state  the state that is stored, not null
     * @param revision  its revision
     * @param now  the present time, not null
     */
    public void waveStored(long number, String state, long revision, Moment now) {
        upkeepPlanner.waveStored(number, state, revision);
        tick(now);
    }

    /**
     * Takes in that the state of a wave may not have been stored.
     *
     * @param number  the wave
     */
    public void waveStoreFailed(long number) {
        upkeepPlanner.waveStoreFailed(number);
    }

    /**
     * Decides what is due.
     *
     * @param now  the present time, not null
     */
    public void tick(Moment now) {
        long nowMillis = now.steadyMillis();
        long pause = upkeepPlanner.isActive() || movePlanner.isActive()
                ? ACTIVE_LIST_INTERVAL_MILLIS
                : IDLE_LIST_INTERVAL_MILLIS;
        if (nowMillis - listRequestedMillis >= pause) {
            listRequestedMillis = nowMillis;
            actions.listMachines();
        }
        if (view.isListed()) {
            List<MachineView> keepFree =
                    new ArrayList<>(upkeepPlanner.tick(movePlanner.hadRecentShortage(nowMillis), nowMillis));
            keepFree.addAll(movePlanner.tick(nowMillis));
            view.replaceEvacuating(keepFree, nowMillis);
        }
        if (nowMillis - lastInstructMillis >= INSTRUCT_INTERVAL_MILLIS) {
            lastInstructMillis = nowMillis;
            for (String pool : new TreeSet<>(view.runningPools())) {
                actions.instruct(
                        pool, new PoolInstructions(view.evacuatingWorkers(pool), movePlanner.countArriving(pool)));
            }
        }
    }
}
