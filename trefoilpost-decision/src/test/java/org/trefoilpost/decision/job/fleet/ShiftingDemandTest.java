package org.trefoilpost.decision.job.fleet;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Replays the load at which pools were worst served: demand that turns from pool to pool, at several times a pool's size.
 */
class ShiftingDemandTest {
    private static final List<String> POOLS = List.of("a", "b", "c", "d");
    private static final long PEAK_MILLIS = 4_500;
    private static final long STEP_MILLIS = 20;
    private static final long MAX_WAIT_MILLIS = 1_400;
    /** Work that a pool is given in its turn, and between its turns, in machines. */
    private static final double PEAK_LOAD_MACHINES = 12;

    private static final double BASE_LOAD_MACHINES = 1;
    private static final int MACHINES_PER_POOL = 8;
    private static final int SPARE_MACHINES = 8;
    private static final int PEAKS = 12;

    @Test
    void movingMachinesServesMoreWorkThanFixedPools() {
        double moving = servedShare(true);
        double keeping = servedShare(false);
        assertTrue(moving > keeping + 0.1, "served " + moving + " with moves, " + keeping + " without");
    }

    @Test
    void numberOfMovesIsBounded() {
        EmulatedFleet fleet = fleet();
        simulate(fleet, true);
        // Each turn brings in what its work fills and the growth that may be expected; as many machines leave after it.
        double each = 2 * (PEAK_LOAD_MACHINES + DemandForecast.MAX_GROWTH_MACHINES);
        assertTrue(fleet.moves <= PEAKS * each, "moves: " + fleet.moves);
    }

    private static EmulatedFleet fleet() {
        EmulatedFleet fleet = new EmulatedFleet();
        POOLS.forEach(pool -> fleet.add(pool, MACHINES_PER_POOL));
        fleet.add("spare", SPARE_MACHINES);
        fleet.configure(Set.copyOf(POOLS));
        return fleet;
    }

    private static double servedShare(boolean moving) {
        return simulate(fleet(), moving);
    }

    /**
     * Returns the share of the work that was done before its callers lost patience.
     */
    private static double simulate(EmulatedFleet fleet, boolean moving) {
        Map<String, Deque<WorkItem>> queues = new HashMap<>();
        POOLS.forEach(pool -> queues.put(pool, new ArrayDeque<>()));
        double asked = 0;
        double done = 0;
        long begin = fleet.nowMillis();
        for (long at = 0; at < PEAKS * PEAK_MILLIS; at += STEP_MILLIS) {
            String turn = POOLS.get((int) (at / PEAK_MILLIS) % POOLS.size());
            for (String pool : POOLS) {
                double rate = pool.equals(turn) ? PEAK_LOAD_MACHINES : BASE_LOAD_MACHINES;
                asked += rate;
                queues.get(pool).add(new WorkItem(begin + at, rate));
                int machines = moving ? fleet.countUp(pool) : MACHINES_PER_POOL;
                done += work(queues.get(pool), machines, begin + at);
                fleet.needs.put(pool, rate + waitingWork(queues.get(pool)) * STEP_MILLIS / 1_000);
            }
            if (moving) {
                fleet.runFor(STEP_MILLIS);
            }
        }
        return done / asked;
    }

    private static double work(Deque<WorkItem> queue, double machines, long nowMillis) {
        queue.removeIf(piece -> nowMillis - piece.submittedMillis() > MAX_WAIT_MILLIS);
        double done = 0;
        while (!queue.isEmpty() && done < machines) {
            WorkItem piece = queue.poll();
            double part = Math.min(piece.amount(), machines - done);
            done += part;
            if (part < piece.amount()) {
                queue.addFirst(new WorkItem(piece.submittedMillis(), piece.amount() - part));
            }
        }
        return done;
    }

    private static double waitingWork(Deque<WorkItem> queue) {
        return queue.stream().mapToDouble(WorkItem::amount).sum();
    }

    private record WorkItem(long submittedMillis, double amount) {}
}
