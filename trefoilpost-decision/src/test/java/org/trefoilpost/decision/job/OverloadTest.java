package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.emulator.TurnReplay;

/**
 * Replays turns of demand beyond what a pool can do.
 */
class OverloadTest {
    /** The share of the work that may be done and come too late. */
    private static final double MAX_LATE_SHARE = 0.05;

    private static final int SEEDS = 6;

    @Test
    void demandBelowAndFarAboveCapacity() {
        check(0.8);
        check(2.2);
    }

    @Test
    void demandMoreThanTwiceCapacity() {
        check(2.2);
    }

    @Test
    void demandAboveCapacity() {
        check(1.6);
    }

    @Test
    void demandThreeTimesCapacity() {
        check(3.0);
    }

    private static void check(double peakLoad) {
        double wanted = 0;
        double inTime = 0;
        double late = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            TurnReplay.Result result = TurnReplay.play(seed, peakLoad);
            assertEquals("", result.faults(), "seed " + seed);
            wanted += result.withoutWaiting() / SEEDS;
            inTime += result.inTime() / SEEDS;
            late += result.late() / SEEDS;
        }
        String seen = "wanted " + wanted + " in time " + inTime + " late " + late;
        assertTrue(inTime >= wanted, seen);
        assertTrue(late <= MAX_LATE_SHARE, seen);
    }
}
