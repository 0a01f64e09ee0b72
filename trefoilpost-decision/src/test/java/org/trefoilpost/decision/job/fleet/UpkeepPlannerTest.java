package org.trefoilpost.decision.job.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Waves whose machines are missing from lists, whose orders are refused or answered late, or which change. After each test,
 * no wave may have been stored as completed while a machine of it that is there had not begun its upkeep.
 */
public class UpkeepPlannerTest {
    private static final long WAVE = 1;
    private static final long WITHIN_MILLIS = 20_000;

    private final EmulatedFleet fleet = new EmulatedFleet();

    @BeforeEach
    void addMachines() {
        fleet.add("a", 4);
        fleet.configure(Set.of("a"));
        fleet.needs.put("a", 2.0);
        fleet.runFor(1_000);
    }

    @AfterEach
    void noWaveIsCompletedTooEarly() {
        assertEquals(List.of(), fleet.completedTooEarly);
    }

    @Test
    void machineThatOneListLacksIsMaintained() {
        fleet.addWave(WAVE, List.of("m0", "m1"), WITHIN_MILLIS, 1);
        fleet.unlisted.add("m1");
        fleet.runFor(700);
        fleet.unlisted.clear();
        assertCompletedWithin(WITHIN_MILLIS);
    }

    @Test
    void listsWithoutMachinesCompleteNoWave() {
        fleet.addWave(WAVE, List.of("m0", "m1"), WITHIN_MILLIS, 1);
        fleet.unlisted.addAll(fleet.machines.keySet());
        fleet.planner.machinesWithWorkers(fleet.machines.keySet());
        fleet.runFor(5_000);
        assertFalse(fleet.isCompleted(WAVE));
        assertEquals(List.of(), fleet.orders, "no order ends the work of a worker that is not evacuated");
        fleet.unlisted.clear();
        assertCompletedWithin(WITHIN_MILLIS);
    }

    @Test
    void machineWithoutAWorkerThatListsLackIsMaintained() {
        fleet.add("spare", 1);
        fleet.unlisted.add("m4");
        fleet.addWave(WAVE, List.of("m4"), WITHIN_MILLIS, 1);
        assertCompletedWithin(WITHIN_MILLIS);
        assertEquals(List.of("upkeep m4"), fleet.orders);
    }

    @Test
    void listRequestedBeforeAMachineWasThereDoesNotShowItAsGone() {
        List<MachineView> earlier = fleet.listedMachines();
        long requestedMillis = fleet.nowMillis() - 200;
        fleet.add("a", 1);
        fleet.addWave(WAVE, List.of("m4"), WITHIN_MILLIS, 1);
        fleet.planner.machinesListed(earlier, requestedMillis, fleet.moment());
        assertCompletedWithin(WITHIN_MILLIS);
    }

    @Test
    void machineWhoseUpkeepIsRejectedThoughItIsListedIsMaintained() {
        fleet.outcomes.put("m0", new ArrayDeque<>(List.of(OrderOutcome.REJECTED, OrderOutcome.REJECTED)));
        fleet.addWave(WAVE, List.of("m0", "m1"), WITHIN_MILLIS, 1);
        assertCompletedWithin(WITHIN_MILLIS);
    }

    @Test
    void waveWhoseOrdersAreRejectedStaysOpen() {
        fleet.nextOutcome = OrderOutcome.REJECTED;
        fleet.addWave(WAVE, List.of("m0"), WITHIN_MILLIS, 1);
        fleet.runFor(2 * WITHIN_MILLIS);
        assertFalse(fleet.isCompleted(WAVE));
        assertTrue(fleet.orders.size() < 30, "orders: " + fleet.orders.size());
    }

    @Test
    void answerToAMoveDoesNotCountAsThatOfAnUpkeep() {
        fleet.add("spare", 1);
        fleet.runFor(1_000);
        fleet.outcomes.put("m4", new ArrayDeque<>(List.of(OrderOutcome.UNKNOWN)));
        fleet.needs.put("a", 5.0);
        while (fleet.orders.isEmpty()) {
            fleet.runFor(20);
        }
        assertEquals(List.of("move m4 a"), fleet.orders);
        fleet.unstorableWaves.add(WAVE);
        fleet.addWave(WAVE, List.of("m4"), WITHIN_MILLIS, 1);
        fleet.runFor(1_000);
        fleet.unstorableWaves.clear();
        fleet.storeAgain(WAVE);
        assertCompletedWithin(WITHIN_MILLIS);
    }

    @Test
    void upkeepOfOneWaveDoesNotCountForAnother() {
        fleet.unstorableWaves.add(WAVE);
        fleet.addWave(WAVE, List.of("m0"), WITHIN_MILLIS, 1);
        fleet.addWave(2, List.of("m0"), WITHIN_MILLIS, 1);
        fleet.runFor(5_000);
        fleet.unstorableWaves.clear();
        fleet.storeAgain(WAVE);
        assertCompletedWithin(WITHIN_MILLIS);
        fleet.runFor(10_000);
        assertTrue(fleet.isCompleted(2));
    }

    @Test
    void machinesAddedToARunningWaveAreMaintained() {
        fleet.addWave(WAVE, List.of("m0"), WITHIN_MILLIS, 1);
        fleet.runFor(100);
        fleet.addWave(WAVE, List.of("m0", "m1"), WITHIN_MILLIS, 1);
        fleet.runFor(10_000);
        assertTrue(fleet.begunUpkeeps.contains("m1 in wave 1"), fleet.begunUpkeeps.toString());
        assertTrue(fleet.isCompleted(WAVE));
    }

    @Test
    void completedWaveIsOpenAgainWhenMachinesAreAdded() {
        fleet.addWave(WAVE, List.of("m0"), WITHIN_MILLIS, 1);
        assertCompletedWithin(WITHIN_MILLIS);
        fleet.addWave(WAVE, List.of("m0", "m1"), WITHIN_MILLIS, 1);
        fleet.runFor(40);
        assertFalse(fleet.isCompleted(WAVE), "stored as running before the machine is maintained");
        assertCompletedWithin(WITHIN_MILLIS);
        assertEquals(List.of("upkeep m0", "upkeep m1"), fleet.orders);
    }

    @Test
    void waveWithoutMachinesIsOpenAgainWhenItHasSome() {
        fleet.addWave(WAVE, List.of(), WITHIN_MILLIS, 1);
        fleet.runFor(1_000);
        fleet.addWave(WAVE, List.of("m0"), WITHIN_MILLIS, 1);
        fleet.runFor(10_000);
        assertTrue(fleet.isCompleted(WAVE));
        assertEquals(List.of("upkeep m0"), fleet.orders);
    }

    @Test
    void newOwnerDoesNotTakeAnEarlierRequestForTheChangedOne() {
        fleet.begunUpkeeps.add("m0 in wave 1");
        fleet.planner.load(WAVE, "m0;;0;true", 7);
        fleet.addWave(WAVE, List.of("m0", "m1"), WITHIN_MILLIS, 1);
        assertCompletedWithin(WITHIN_MILLIS);
        assertEquals(List.of("upkeep m1"), fleet.orders.stream().distinct().toList());
    }

    @Test
    void damagedProgressIsNotTakenForMachinesThatAreDone() {
        for (String damaged : List.of("m0", "m0;;soon;false", "m0;;0;tru", "m0;m1")) {
            try {
                fleet.planner.load(WAVE, damaged, 7);
            } catch (IllegalArgumentException expected) {
                // The owner logs progress that cannot be read, and goes on without it.
            }
        }
        fleet.addWave(WAVE, List.of("m0"), WITHIN_MILLIS, 1);
        assertCompletedWithin(WITHIN_MILLIS);
    }

    @Test
    void machineWhoseNameHasASeparatorDoesNotCountAsOthers() {
        WaveProgress progress = new WaveProgress(WAVE);
        progress.doneMachines.add("m0,m1");
        progress.doneMachines.add("m2;m3");
        WaveProgress loaded = new WaveProgress(WAVE);
        loaded.loadState(progress.encodeState(), 7);
        assertEquals(progress.doneMachines, loaded.doneMachines);
    }

    @Test
    void machineThatHasGoneDoesNotHoldItsWaveOpen() {
        fleet.addWave(WAVE, List.of("m0", "m1"), WITHIN_MILLIS, 1);
        fleet.machines.remove("m1");
        assertCompletedWithin(10_000);
    }

    @Test
    void machineThatHasGoneAndIsAnsweredAsBusyDoesNotHoldItsWaveOpen() {
        fleet.goneOutcome = OrderOutcome.BUSY;
        fleet.addWave(WAVE, List.of("m0", "m1"), WITHIN_MILLIS, 1);
        fleet.machines.remove("m1");
        assertCompletedWithin(10_000);
    }

    /** Guards against waves that wait one after the other for the evidence that the same machine has gone. */
    @Test
    void machineThatHasGoneHoldsOverlappingWavesOpenOnlyOnce() {
        fleet.machines.remove("m1");
        for (long wave = WAVE; wave <= 6; wave++) {
            fleet.addWave(wave, List.of("m1"), WITHIN_MILLIS, 1);
        }
        fleet.runFor(10_000);
        for (long wave = WAVE; wave <= 6; wave++) {
            assertTrue(fleet.isCompleted(wave), fleet.storedWaves.toString());
        }
    }

    @Test
    void machineThatGoesAfterItsOrderDoesNotHoldItsWaveOpen() {
        fleet.outcomes.put("m0", new ArrayDeque<>(List.of(OrderOutcome.UNKNOWN, OrderOutcome.UNKNOWN)));
        fleet.addWave(WAVE, List.of("m0", "m1"), WITHIN_MILLIS, 2);
        fleet.runFor(300);
        fleet.machines.remove("m0");
        assertCompletedWithin(10_000);
    }

    @Test
    void machineThatHasGoneDoesNotHoldItsWaveOpenAfterATakeOver() {
        fleet.machines.remove("m1");
        fleet.planner.load(WAVE, "m0;m1;0;false", 7);
        fleet.addWave(WAVE, List.of("m0", "m1"), WITHIN_MILLIS, 1);
        fleet.begunUpkeeps.add("m0 in wave 1");
        assertCompletedWithin(10_000);
    }

    @Test
    void machineThatComesBackAfterItsWaveWasCompletedIsMaintained() {
        MachineView gone = fleet.machines.remove("m1");
        fleet.addWave(WAVE, List.of("m0", "m1"), WITHIN_MILLIS, 1);
        assertCompletedWithin(10_000);
        fleet.comeBack(gone);
        fleet.runFor(10_000);
        assertTrue(fleet.begunUpkeeps.contains("m1 in wave 1"), fleet.begunUpkeeps.toString());
        assertTrue(fleet.isCompleted(WAVE));
    }

    private void assertCompletedWithin(long millis) {
        for (long end = fleet.nowMillis() + millis; fleet.nowMillis() < end && !fleet.isCompleted(WAVE); ) {
            fleet.runFor(20);
        }
        assertTrue(fleet.isCompleted(WAVE), fleet.storedWaves.toString());
    }
}
