package org.trefoilpost.decision.job.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.decision.job.Moment;
import org.trefoilpost.decision.job.PoolDemand;
import org.trefoilpost.decision.job.PoolInstructions;

/**
 * Orders and changes of progress that stay unanswered while lists and requests change.
 */
public class UnansweredUpkeepTest {
    private static final long WAVE = 1;
    private static final long WITHIN_MILLIS = 60_000;

    private final PausedFleet fleet = new PausedFleet();

    @Test
    void machineInUpkeepThatOneListLacksStillCountsAsDown() {
        fleet.add("spare", "m0", "m1");
        fleet.addWave("m0", "m1");
        fleet.runUntilOrders(1);
        fleet.state("m0", false);
        fleet.answer("upkeep m0", OrderOutcome.DONE);
        fleet.unlisted.add("m0");
        fleet.runFor(2_000);
        assertEquals(List.of("upkeep m0"), fleet.orders, "one machine may be down at the same time");
    }

    @Test
    void changeThatIsUndoneWhileItIsStoredLeavesTheWaveCompleted() {
        fleet.add("spare", "m0", "m1");
        fleet.addWave("m0");
        fleet.runUntilOrders(1);
        fleet.answer("upkeep m0", OrderOutcome.DONE);
        fleet.runFor(100);
        assertTrue(fleet.storedCompleted);
        fleet.storePaused = true;
        fleet.addWave("m0", "m1");
        fleet.runFor(20);
        fleet.addWave("m0");
        fleet.storePaused = false;
        fleet.answerStore();
        fleet.runFor(10_000);
        assertTrue(fleet.storedCompleted, "the status stays running though all machines are maintained");
    }

    @Test
    void machineWithAWorkerIsNotGoneAfterARejection() {
        fleet.add("a", "m0");
        fleet.planner.load(WAVE, ";m0;0;;false", 7);
        fleet.addWave("m0");
        fleet.runUntilOrders(1);
        fleet.unlisted.add("m0");
        fleet.planner.machinesWithWorkers(Set.of("m0"));
        fleet.runFor(3_000);
        fleet.answer("upkeep m0", OrderOutcome.REJECTED);
        fleet.runFor(3_000);
        assertFalse(fleet.storedCompleted);
    }

    @Test
    void answerToAMoveDoesNotCountForAnOrderThatWasLoaded() {
        fleet.add("a", "m0", "m1");
        fleet.add("spare", "m4");
        fleet.need = 3;
        fleet.planner.load(WAVE, ";m4;0;;false", 7);
        fleet.runUntilOrders(1);
        assertEquals(List.of("move m4 a"), fleet.orders);
        fleet.answer("move m4 a", OrderOutcome.UNKNOWN);
        fleet.addWave("m4");
        fleet.runFor(1_000);
        if (fleet.unanswered.contains("upkeep m4")) {
            fleet.answer("upkeep m4", OrderOutcome.UNKNOWN);
            fleet.runFor(350);
        }
        fleet.answer("move m4 a", OrderOutcome.DONE);
        fleet.runFor(100);
        assertFalse(fleet.storedCompleted, "orders " + fleet.orders);
        assertFalse(fleet.severalUnanswered, "orders " + fleet.orders);
    }

    @Test
    void machineThatIsNoLongerListedAndNeverUpDoesNotHoldUpTheOthers() {
        fleet.add("spare", "m0", "m1");
        fleet.addWave("m0", "m1");
        fleet.runUntilOrders(1);
        fleet.unlisted.add("m0");
        for (int i = 0; i < 100; i++) {
            if (fleet.unanswered.contains("upkeep m0")) {
                fleet.answer("upkeep m0", OrderOutcome.BUSY);
            }
            fleet.runFor(400);
        }
        assertTrue(fleet.orders.contains("upkeep m1"), "in 40 s no other machine was maintained");
    }

    /**
     * A fleet whose orders are answered by the test.
     */
    private static final class PausedFleet implements FleetActions {
        final FleetPlanner planner = new FleetPlanner(this, 64);
        final Map<String, MachineView> machines = new TreeMap<>();
        final Set<String> unlisted = new HashSet<>();
        final List<String> orders = new ArrayList<>();
        final List<String> unanswered = new ArrayList<>();
        boolean severalUnanswered;
        boolean storedCompleted;
        boolean storePaused;
        double need;
        private Runnable pausedStore = () -> {};
        private long nowMillis = 100_000;
        private long revision = 7;

        PausedFleet() {
            planner.configure(Set.of("a"), Set.of("spare"));
        }

        void add(String pool, String... names) {
            for (String name : names) {
                machines.put(name, new MachineView(name, pool, true, false, "w-" + name, 32_000));
            }
        }

        void state(String name, boolean up) {
            MachineView old = machines.get(name);
            machines.put(name, new MachineView(name, old.pool(), up, !up, up ? old.worker() : "", old.cpuMillis()));
        }

        Moment now() {
            return new Moment(nowMillis, nowMillis);
        }

        void addWave(String... names) {
            planner.addWave(
                    WAVE, List.of(names), new Moment(100_000 + WITHIN_MILLIS, 100_000 + WITHIN_MILLIS), 1, now());
        }

        void runFor(long millis) {
            for (long end = nowMillis + millis; nowMillis < end; nowMillis += 20) {
                planner.tick(true, now());
            }
        }

        void runUntilOrders(int count) {
            for (int i = 0; i < 500 && orders.size() < count; i++) {
                runFor(20);
            }
            assertEquals(count, orders.size(), orders.toString());
        }

        void answer(String order, OrderOutcome outcome) {
            assertTrue(unanswered.remove(order), "not under way: " + order);
            planner.orderAnswered(order.split(" ")[1], outcome, now());
        }

        void answerStore() {
            pausedStore.run();
        }

        private void send(String order) {
            severalUnanswered |= unanswered.stream().anyMatch(other -> other.split(" ")[1].equals(order.split(" ")[1]));
            orders.add(order);
            unanswered.add(order);
        }

        @Override
        public void listMachines() {
            planner.machinesListed(
                    machines.values().stream()
                            .filter(machine -> !unlisted.contains(machine.name()))
                            .toList(),
                    nowMillis,
                    now());
        }

        @Override
        public void instruct(String pool, PoolInstructions instructions) {
            Map<String, PoolDemand.WorkerUsage> workers = new TreeMap<>();
            machines.values().stream()
                    .filter(machine -> machine.pool().equals(pool) && machine.up())
                    .forEach(machine -> {
                        boolean evacuating = instructions.evacuating().contains(machine.worker());
                        workers.put(machine.worker(), new PoolDemand.WorkerUsage(0, false, evacuating, !evacuating));
                    });
            planner.load(pool, instructions.evacuating(), new PoolDemand(need, workers, Set.of()), now());
        }

        @Override
        public void beginUpkeep(String machine, long wave) {
            send("upkeep " + machine);
        }

        @Override
        public void move(String machine, String pool) {
            send("move " + machine + " " + pool);
        }

        @Override
        public void storeWave(long wave, String state, long expectedRevision, boolean completed) {
            Runnable store = () -> {
                storedCompleted = completed;
                planner.waveStored(wave, state, ++revision, now());
            };
            if (storePaused) {
                pausedStore = store;
            } else {
                store.run();
            }
        }

        @Override
        public void ownershipLost(String machine) {
            // No order is fenced here.
        }

        @Override
        public void logDecision(Decision decision) {
            // Decisions are not checked here.
        }
    }
}
