package org.trefoilpost.decision.job.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Seeded sequences of partial lists, refused and late orders, changed and overlapping waves, machines that go and come back,
 * and take-overs. No wave is stored as completed before its machines are maintained, and each is completed once the faults
 * have ended.
 */
public class UpkeepInterleavingTest {
    private static final int SEQUENCES = 60;
    private static final long FAULTY_MILLIS = 20_000;
    private static final long CALM_MILLIS = 60_000;
    private static final long STEP_MILLIS = 100;
    private static final long WITHIN_MILLIS = 20_000;
    private static final int MAX_AT_ONCE = 4;

    @ParameterizedTest
    @ValueSource(longs = {1_000, 2_000, 3_000, 4_000})
    void completedWavesAreMaintained(long firstSeed) {
        for (long seed = firstSeed; seed < firstSeed + SEQUENCES; seed++) {
            play(seed);
        }
    }

    private static void play(long seed) {
        Random random = new Random(seed);
        EmulatedFleet fleet = new EmulatedFleet();
        fleet.add("a", 6);
        fleet.add("b", 6);
        fleet.add("spare", 4);
        fleet.configure(Set.of("a", "b"));
        List<MachineView> gone = new ArrayList<>();
        requestWave(1, fleet, random);
        for (long end = fleet.nowMillis() + FAULTY_MILLIS; fleet.nowMillis() < end; ) {
            disturb(fleet, gone, random);
            fleet.runFor(STEP_MILLIS);
            assertEquals(List.of(), fleet.completedTooEarly, "seed " + seed);
        }
        calm(fleet);
        for (long end = fleet.nowMillis() + CALM_MILLIS; fleet.nowMillis() < end && !isAllCompleted(fleet); ) {
            fleet.runFor(STEP_MILLIS);
        }
        assertEquals(List.of(), fleet.completedTooEarly, "seed " + seed);
        assertTrue(isAllCompleted(fleet), "seed " + seed + ": " + fleet.storedWaves);
    }

    private static void disturb(EmulatedFleet fleet, List<MachineView> gone, Random random) {
        List<String> names = new ArrayList<>(fleet.machines.keySet());
        String machine = names.get(random.nextInt(names.size()));
        switch (random.nextInt(14)) {
            case 0 -> fleet.unlisted.add(machine);
            case 1 -> fleet.unlisted.addAll(names);
            case 2, 3 -> fleet.unlisted.clear();
            case 4, 5 -> fleet.outcomes.put(machine, randomOutcomes(random));
            case 6 ->
                fleet.lateOrderMillis =
                        random.nextBoolean() ? OptionalLong.of(random.nextInt(5_000)) : OptionalLong.empty();
            case 7 -> requestWave(1 + random.nextInt(3), fleet, random);
            case 8 -> fleet.needs.put(random.nextBoolean() ? "a" : "b", random.nextDouble() * 9);
            case 9 -> storeWaves(fleet, random.nextBoolean());
            case 10 -> fleet.takeOver(WITHIN_MILLIS);
            case 11 -> {
                if (names.size() > 10) {
                    gone.add(fleet.machines.remove(machine));
                }
            }
            case 12 -> {
                if (!gone.isEmpty()) {
                    fleet.comeBack(gone.remove(0));
                }
            }
            default -> {
                // Lets time pass.
            }
        }
    }

    private static ArrayDeque<OrderOutcome> randomOutcomes(Random random) {
        List<OrderOutcome> outcomes =
                List.of(OrderOutcome.BUSY, OrderOutcome.REJECTED, OrderOutcome.REFUSED, OrderOutcome.UNKNOWN);
        ArrayDeque<OrderOutcome> next = new ArrayDeque<>();
        for (int i = 1 + random.nextInt(4); i > 0; i--) {
            next.add(outcomes.get(random.nextInt(outcomes.size())));
        }
        return next;
    }

    private static void requestWave(long number, EmulatedFleet fleet, Random random) {
        List<String> machines = new ArrayList<>(fleet.machines.keySet());
        machines.removeIf(name -> random.nextInt(3) == 0);
        fleet.addWave(number, machines, WITHIN_MILLIS, 1 + random.nextInt(MAX_AT_ONCE));
    }

    private static void storeWaves(EmulatedFleet fleet, boolean storable) {
        for (long wave = 1; wave <= 3; wave++) {
            if (storable) {
                fleet.unstorableWaves.remove(wave);
                fleet.storeAgain(wave);
            } else {
                fleet.unstorableWaves.add(wave);
            }
        }
    }

    private static void calm(EmulatedFleet fleet) {
        fleet.unlisted.clear();
        fleet.outcomes.clear();
        fleet.lateOrderMillis = OptionalLong.empty();
        fleet.needs.clear();
        storeWaves(fleet, true);
    }

    private static boolean isAllCompleted(EmulatedFleet fleet) {
        return fleet.requestedWaves().stream().allMatch(fleet::isCompleted);
    }
}
