package org.trefoilpost.decision.job.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class FleetPlannerTest {
    private final EmulatedFleet fleet = new EmulatedFleet();

    @Test
    void poolWithShortageGetsSpareMachines() {
        fleet.add("a", 3);
        fleet.add("spare", 4);
        fleet.configure(Set.of("a"));
        fleet.needs.put("a", 5.0);
        fleet.runFor(4_000);
        assertTrue(fleet.countUp("a") >= 5, "machines: " + fleet.countUp("a"));
    }

    @Test
    void surplusMachinesReturnToSparePoolAfterDelay() {
        fleet.add("a", 8);
        fleet.add("spare", 1);
        fleet.configure(Set.of("a"));
        fleet.needs.put("a", 1.0);
        fleet.runFor(2_000);
        assertEquals(0, fleet.moves);
        fleet.runFor(10_000);
        assertTrue(fleet.countUp("a") <= 4, "machines: " + fleet.countUp("a"));
        assertTrue(fleet.countUp("a") >= 2, "machines: " + fleet.countUp("a"));
    }

    /** Guards against machines that are given away though advice on their workers is awaited or used. */
    @Test
    void awaitedMachinesStayBesideASurplusAndTheShortageOfAnotherPool() {
        fleet.add("a", 8);
        fleet.add("b", 2);
        fleet.configure(Set.of("a", "b"));
        fleet.needs.put("a", 1.0);
        fleet.awaited.addAll(List.of("m0", "m1", "m2", "m5", "m6"));
        fleet.runFor(10_000);
        fleet.needs.put("b", 9.0);
        fleet.runFor(10_000);
        for (String machine : fleet.awaited) {
            assertEquals("a", fleet.machines.get(machine).pool(), machine);
        }
        assertEquals(5, fleet.countUp("a"));
        fleet.awaited.clear();
        fleet.runFor(10_000);
        assertTrue(fleet.countUp("a") <= 2, "machines: " + fleet.countUp("a"));
    }

    @Test
    void busyMachineIsNeitherMovedNorMaintained() {
        fleet.add("a", 8);
        fleet.add("b", 2);
        fleet.configure(Set.of("a", "b"));
        fleet.needs.put("b", 6.0);
        fleet.busyWorkers = true;
        fleet.addWave(1, List.of("m0", "m1"), 20_000, 2);
        fleet.runFor(10_000);
        assertEquals(List.of(), fleet.orders);
    }

    @Test
    void waveKeepsToMachineLimitAndCompletes() {
        fleet.add("a", 12);
        fleet.configure(Set.of("a"));
        fleet.needs.put("a", 10.0);
        List<String> wanted = new ArrayList<>(fleet.machines.keySet()).subList(0, 9);
        fleet.addWave(1, wanted, 26_000, 3);
        fleet.runFor(26_000);
        assertTrue(fleet.storedWaves.get(1L).endsWith("true"), fleet.storedWaves.toString());
        assertTrue(fleet.maxDown <= 3, "down at once: " + fleet.maxDown);
    }

    @Test
    void machineBeingEmptiedForUpkeepIsReplaced() {
        fleet.add("a", 3);
        fleet.add("spare", 2);
        fleet.configure(Set.of("a"));
        fleet.needs.put("a", 3.0);
        fleet.busyWorkers = true;
        fleet.addWave(1, List.of("m0"), 20_000, 1);
        fleet.runFor(6_000);
        assertEquals(4, fleet.countUp("a"), "m0 cannot be emptied while the pool needs all it has");
    }

    @Test
    void spareMachinesAreMaintainedNoFasterThanNecessaryDuringShortage() {
        fleet.add("a", 2);
        fleet.add("spare", 20);
        fleet.configure(Set.of("a"));
        fleet.needs.put("a", 8.0);
        fleet.runFor(300);
        List<String> spare = new ArrayList<>(fleet.machines.keySet());
        spare.removeAll(List.of("m0", "m1"));
        fleet.addWave(1, spare, 26_000, 20);
        fleet.runFor(1_000);
        // 6 of the 20 machines work in the pool and take 8 s each, the others take 3 s each, and 21 s are left.
        assertTrue(fleet.maxDown <= 5, "down at once: " + fleet.maxDown);
        fleet.runFor(25_000);
        assertTrue(fleet.storedWaves.get(1L).endsWith("true"), fleet.storedWaves.toString());
    }

    @Test
    void upkeepIsNotOrderedBeforeItIsStored() {
        fleet.add("a", 4);
        fleet.configure(Set.of("a"));
        fleet.needs.put("a", 3.0);
        fleet.storeDown = true;
        fleet.addWave(1, List.of("m0"), 20_000, 1);
        fleet.runFor(5_000);
        assertEquals(List.of(), fleet.orders);
    }

    @Test
    void newOwnerContinuesStoredOrders() {
        fleet.add("a", 4);
        fleet.configure(Set.of("a"));
        fleet.needs.put("a", 3.0);
        fleet.planner.load(1, "m0;m1;false", 7);
        fleet.addWave(1, List.of("m0", "m1"), 20_000, 1);
        fleet.runFor(6_000);
        assertEquals(List.of("upkeep m1"), fleet.orders);
        assertTrue(fleet.storedWaves.get(1L).endsWith("true"), fleet.storedWaves.toString());
    }

    @Test
    void unansweredMoveIsRetriedWithSameTarget() {
        fleet.add("a", 2);
        fleet.add("b", 2);
        fleet.add("spare", 1);
        fleet.configure(Set.of("a", "b"));
        fleet.needs.put("a", 4.0);
        fleet.nextOutcome = OrderOutcome.UNKNOWN;
        fleet.step();
        fleet.runFor(400);
        fleet.needs.put("a", 0.0);
        fleet.needs.put("b", 4.0);
        fleet.nextOutcome = OrderOutcome.DONE;
        fleet.runFor(3_000);
        List<String> targets = fleet.orders.stream()
                .filter(order -> order.startsWith("move m4"))
                .distinct()
                .toList();
        assertEquals(List.of("move m4 a"), targets);
    }

    /** Guards against a pool that is emptied of its machines for others whose moves may never be carried out. */
    @Test
    void poolGivesUpNoMachinesForMovesThatAreNotAnswered() {
        fleet.add("a", 4);
        fleet.add("b", 4);
        fleet.add("spare", 6);
        fleet.configure(Set.of("a", "b"));
        fleet.needs.put("a", 10.0);
        fleet.needs.put("b", 4.0);
        fleet.nextOutcome = OrderOutcome.UNKNOWN;
        fleet.runFor(2_000);
        fleet.needs.put("a", 4.0);
        fleet.needs.put("b", 8.0);
        fleet.runFor(9_000);
        List<String> givenUp = fleet.decidedMoves.stream()
                .filter(move -> move.startsWith("a "))
                .toList();
        assertEquals(List.of(), givenUp);
    }

    @Test
    void fencedOrderReportsLostOwnership() {
        fleet.add("a", 2);
        fleet.add("spare", 2);
        fleet.configure(Set.of("a"));
        fleet.needs.put("a", 4.0);
        fleet.nextOutcome = OrderOutcome.FENCED;
        fleet.runFor(400);
        assertTrue(fleet.orders.stream().anyMatch(order -> order.startsWith("fenced")), fleet.orders.toString());
    }

    @Test
    void noOrderIsSentWhileTheOwnershipIsUnconfirmed() {
        fleet.add("a", 4);
        fleet.add("spare", 2);
        fleet.configure(Set.of("a"));
        fleet.needs.put("a", 6.0);
        fleet.addWave(1, List.of("m0"), 20_000, 1);
        fleet.ordersAllowed = false;
        fleet.runFor(3_000);
        assertEquals(List.of(), fleet.orders);
        fleet.ordersAllowed = true;
        fleet.runFor(3_000);
        assertTrue(fleet.orders.contains("upkeep m0"), fleet.orders.toString());
    }

    @Test
    void unansweredMoveKeepsItsTargetWhileOrdersAreNotAllowed() {
        fleet.add("a", 2);
        fleet.add("b", 2);
        fleet.add("spare", 1);
        fleet.configure(Set.of("a", "b"));
        fleet.needs.put("a", 4.0);
        fleet.nextOutcome = OrderOutcome.UNKNOWN;
        fleet.step();
        fleet.runFor(100);
        assertEquals(List.of("move m4 a"), fleet.orders);
        fleet.ordersAllowed = false;
        fleet.nextOutcome = OrderOutcome.DONE;
        fleet.needs.put("a", 0.0);
        fleet.needs.put("b", 4.0);
        fleet.runFor(2_000);
        fleet.ordersAllowed = true;
        fleet.runFor(1_000);
        assertEquals(List.of("move m4 a", "move m4 a"), fleet.orders.subList(0, 2));
    }

    @Test
    void refusedRetryOfUnansweredMoveDoesNotForgetIt() {
        fleet.add("a", 2);
        fleet.add("b", 2);
        fleet.add("spare", 1);
        fleet.configure(Set.of("a", "b"));
        fleet.needs.put("a", 4.0);
        fleet.nextOutcome = OrderOutcome.UNKNOWN;
        fleet.step();
        fleet.nextOutcome = OrderOutcome.REFUSED;
        fleet.runFor(2_000);
        fleet.needs.put("a", 0.0);
        fleet.needs.put("b", 4.0);
        fleet.nextOutcome = OrderOutcome.DONE;
        fleet.runFor(1_000);
        assertTrue(fleet.orders.stream().noneMatch("move m4 b"::equals), fleet.orders.toString());
    }

    @Test
    void waveGoesOnAfterItsOwnUnansweredChange() {
        fleet.add("a", 4);
        fleet.configure(Set.of("a"));
        fleet.needs.put("a", 3.0);
        fleet.storeDown = true;
        fleet.addWave(1, List.of("m0"), 20_000, 1);
        fleet.runFor(500);
        fleet.storeDown = false;
        fleet.planner.waveRevisionChanged(1, 12);
        fleet.runFor(500);
        assertEquals(12, fleet.firstStoreRevision);
        assertEquals(List.of("upkeep m0"), fleet.orders);
    }

    @Test
    void newOwnerKeepsTheStoredDeadlineOfAWave() {
        fleet.add("a", 12);
        fleet.configure(Set.of("a"));
        fleet.needs.put("a", 0.0);
        List<String> machines = new ArrayList<>(fleet.machines.keySet());
        long deadlineWallMillis = fleet.nowMillis() + 9_000;
        fleet.planner.load(1, ";;" + deadlineWallMillis + ";false", 7);
        fleet.addWave(1, machines, 60_000, 12);
        fleet.runFor(8_000);
        assertTrue(fleet.storedWaves.get(1L).endsWith("true"), fleet.storedWaves.toString());
    }

    @Test
    void mostOfASurplusStaysWhereAnotherPoolCanGetItAtOnce() {
        fleet.add("a", 24);
        fleet.add("b", 2);
        fleet.add("spare", 1);
        fleet.configure(Set.of("a", "b"));
        fleet.needs.put("a", 1.0);
        fleet.needs.put("b", 1.0);
        fleet.runFor(3_000);
        fleet.needs.put("b", 14.0);
        fleet.runFor(2_400);
        assertTrue(fleet.countUp("b") >= 14, "machines: " + fleet.countUp("b"));
    }

    /**
     * Guards against a wave that is late because the machines that take longest to empty come last, one after the other.
     */
    /** Replays a demand beyond all machines, beside which each other pool kept a machine and a part of one idle. */
    @Test
    void poolsKeepNoSurplusBesideAnUrgentShortage() {
        EmulatedFleet fleet = new EmulatedFleet();
        List<String> pools = List.of("a", "b", "c", "d");
        pools.forEach(pool -> fleet.add(pool, 8));
        fleet.configure(Set.copyOf(pools));
        pools.forEach(pool -> fleet.needs.put(pool, 6.6));
        fleet.runFor(3_000);
        assertEquals(0, fleet.moves, "no pool is short");
        fleet.needs.put("a", 20.0);
        fleet.runFor(6_000);
        assertEquals(11, fleet.countUp("a"));
        assertEquals(7, fleet.countUp("b"));
    }

    @Test
    void machinesWithLongRunningTasksAreEmptiedInTimeForTheWave() {
        fleet.add("a", 60);
        fleet.configure(Set.of("a"));
        fleet.needs.put("a", 60.0);
        List<String> machines = new ArrayList<>(fleet.machines.keySet());
        machines.subList(0, 10).forEach(machine -> fleet.emptyingMillis.put(machine, 8_000L));
        fleet.addWave(1, machines, 27_000, 30);
        fleet.runFor(27_000);
        assertTrue(fleet.storedWaves.get(1L).endsWith("true"), fleet.storedWaves.toString());
    }
}
