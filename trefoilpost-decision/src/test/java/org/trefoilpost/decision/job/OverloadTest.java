package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.emulator.DemandPeakSimulation;

/**
 * Tests how much work completes in time while demand rises beyond the capacity of a pool for some seconds.
 */
class OverloadTest {
    /** The share of the work that may complete late. */
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
        double expected = 0;
        double inTime = 0;
        double late = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            DemandPeakSimulation.Result result = DemandPeakSimulation.run(seed, peakLoad);
            assertEquals("", result.violations(), "seed " + seed);
            expected += result.achievable() / SEEDS;
            inTime += result.inTime() / SEEDS;
            late += result.late() / SEEDS;
        }
        String measured = "wanted " + expected + " in time " + inTime + " late " + late;
        assertTrue(inTime >= expected, measured);
        assertTrue(late <= MAX_LATE_SHARE, measured);
    }
}
