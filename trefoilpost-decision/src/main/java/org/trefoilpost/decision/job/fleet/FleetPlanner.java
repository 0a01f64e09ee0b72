package org.trefoilpost.decision.job.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.decision.job.Moment;
import org.trefoilpost.decision.job.PoolDemand;
import org.trefoilpost.decision.job.PoolInstructions;

/**
 * Decides which machines are emptied and maintained next, and which are moved between pools.
 */
public final class FleetPlanner {
    /** Interval between requests of the machine list while a wave or a move is in progress. */
    private static final long ACTIVE_LIST_INTERVAL_MILLIS = 600;
    /** Interval between requests of the machine list otherwise. */
    private static final long IDLE_LIST_INTERVAL_MILLIS = 3_000;

    private static final long INSTRUCT_INTERVAL_MILLIS = 120;
    private static final long LIST_RETRY_MILLIS = 300;

    private final FleetActions actions;
    private final FleetView view = new FleetView();
    private final OrderRateLimiter rateLimiter;
    private final UpkeepPlanner upkeepPlanner;
    private final MachineMovePlanner movePlanner;
    private long listRequestedMillis = Long.MIN_VALUE / 2;
    private long lastInstructMillis = Long.MIN_VALUE / 2;

    /**
     * Constructs a planner without waves.
     *
     * @param actions  carries out the decisions, not null
     * @param callsPerSecond  the maximum rate of orders that the platform accepts, in orders per second
     */
    public FleetPlanner(FleetActions actions, double callsPerSecond) {
        this.actions = actions;
        this.rateLimiter = new OrderRateLimiter(callsPerSecond);
        this.upkeepPlanner = new UpkeepPlanner(actions, view, rateLimiter);
        this.movePlanner = new MachineMovePlanner(actions, view, upkeepPlanner, rateLimiter);
    }

    /**
     * Sets the pools of the configuration in force.
     *
     * @param running  the names of the pools that run jobs, not null
     * @param spare  the names of the pools whose machines are switched off, not null
     */
    public void configure(Set<String> running, Set<String> spare) {
        view.configure(running, spare);
    }

    /**
     * Loads the stored progress of a wave.
     *
     * @param number  the number of the wave
     * @param state  the encoded progress, not null
     * @param revision  the revision of the stored progress
     * @throws IllegalArgumentException if the progress cannot be decoded; nothing of it is loaded then
     */
    public void load(long number, String state, long revision) {
        upkeepPlanner.loadWave(number, state, revision);
    }

    /**
     * Adds a wave that operators requested, or changes it if they requested something else before. A wave that was completed
     * is open again if it has machines that are not maintained.
     *
     * @param number  the number of the wave
     * @param machines  the names of the machines to maintain, not null
     * @param deadline  the time before which all of them are to be maintained, as far as this entry knows; an earlier
     *     one that is stored with the progress of the wave is kept; not null
     * @param atOnce  the maximum number of machines that may be down at the same time; values below 1 count as 1
     * @param now  the current time, not null
     */
    public void addWave(long number, List<String> machines, Moment deadline, int atOnce, Moment now) {
        upkeepPlanner.addWave(number, machines, deadline, atOnce, now);
    }

    /**
     * Ends the orders of a wave that operators no longer request. Its progress is kept in case it is requested again.
     *
     * @param number  the number of the wave
     */
    public void withdrawWave(long number) {
        upkeepPlanner.withdrawWave(number);
    }

    /**
     * Sets the machines on which workers are registered. A machine that lists lack is not taken for gone while a worker is
     * registered on it.
     *
     * @param machines  the names of the machines, not null
     */
    public void machinesWithWorkers(Set<String> machines) {
        upkeepPlanner.machinesWithWorkers(machines);
    }

    /**
     * Replaces the known machines by a new list.
     *
     * @param views  all machines, not null
     * @param requestedMillis  the time at which the list was requested, in milliseconds on the steady clock
     * @param now  the current time, not null
     */
    public void machinesListed(List<MachineView> views, long requestedMillis, Moment now) {
        view.replaceMachines(views, requestedMillis, now.steadyMillis());
        upkeepPlanner.machinesListed(requestedMillis, now.steadyMillis());
        movePlanner.machinesListed(requestedMillis);
    }

    /**
     * Handles a failed request of the machine list by scheduling a retry.
     *
     * @param now  the current time, not null
     */
    public void listFailed(Moment now) {
        listRequestedMillis = now.steadyMillis() - ACTIVE_LIST_INTERVAL_MILLIS + LIST_RETRY_MILLIS;
    }

    /**
     * Records a pool's demand.
     *
     * @param pool  the name of the pool, not null
     * @param evacuating  the identifiers of the workers that the pool was instructed to evacuate, not null
     * @param demand  the demand, not null
     * @param now  the current time, not null
     */
    public void load(String pool, Set<String> evacuating, PoolDemand demand, Moment now) {
        view.recordDemand(pool, evacuating, demand, now.steadyMillis());
    }

    /**
     * Handles the outcome of an order.
     *
     * @param machine  the name of the machine, not null
     * @param outcome  the outcome, not null
     * @param now  the current time, not null
     */
    public void orderAnswered(String machine, OrderOutcome outcome, Moment now) {
        Optional<MachineOrder> order = view.orderAnswered(machine);
        OptionalLong wave = order.map(MachineOrder::wave).orElse(OptionalLong.empty());
        actions.logDecision(Decision.of("machine-ordered")
                .with("machine", machine)
                .with("order", wave.isPresent() ? "upkeep" : "move")
                .withIfPresent("wave", wave.stream().boxed().findFirst())
                .with("outcome", outcome.name()));
        if (outcome == OrderOutcome.FENCED) {
            actions.ownershipLost(machine);
        } else if (wave.isPresent()) {
            upkeepPlanner.orderAnswered(machine, wave.getAsLong(), outcome, now.steadyMillis());
        } else {
            movePlanner.orderAnswered(machine, outcome, now.steadyMillis());
        }
    }

    /**
     * Handles that the progress of a wave is stored.
     *
     * @param number  the number of the wave
     * @param state  the encoded progress that is stored, not null
     * @param revision  the revision of the stored progress
     * @param now  the current time, not null
     */
    public void waveStored(long number, String state, long revision, Moment now) {
        upkeepPlanner.waveStored(number, state, revision, now.steadyMillis());
        decide(now);
    }

    /**
     * Handles that the progress of a wave may not have been stored, so that it is stored again.
     *
     * @param number  the number of the wave
     */
    public void waveStoreFailed(long number) {
        upkeepPlanner.waveStoreFailed(number);
    }

    /**
     * Handles that an earlier change of this owner, to which the store had not answered, has taken effect, so that the
     * progress of the wave is stored again on top of it.
     *
     * @param number  the number of the wave
     * @param revision  the revision of the stored progress
     */
    public void waveRevisionChanged(long number, long revision) {
        upkeepPlanner.waveRevisionChanged(number, revision);
    }

    /**
     * Returns whether orders may become due soon.
     *
     * @return true if a wave or a move is in progress
     */
    public boolean isActive() {
        return upkeepPlanner.isActive() || movePlanner.isActive();
    }

    /**
     * Makes all decisions that are due.
     *
     * @param ordersAllowed  false if orders must wait, as the ownership is not confirmed
     * @param now  the current time, not null
     */
    public void tick(boolean ordersAllowed, Moment now) {
        rateLimiter.allow(ordersAllowed);
        decide(now);
    }

    private void decide(Moment now) {
        long nowMillis = now.steadyMillis();
        long intervalMillis = isActive() ? ACTIVE_LIST_INTERVAL_MILLIS : IDLE_LIST_INTERVAL_MILLIS;
        if (nowMillis - listRequestedMillis >= intervalMillis) {
            listRequestedMillis = nowMillis;
            actions.listMachines();
        }
        if (view.isListed()) {
            List<MachineView> evacuating = new ArrayList<>(
                    upkeepPlanner.tick(movePlanner.hadRecentShortage(nowMillis), movePlanner::isOrdered, nowMillis));
            evacuating.addAll(movePlanner.tick(nowMillis));
            view.replaceEvacuating(evacuating, nowMillis);
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
