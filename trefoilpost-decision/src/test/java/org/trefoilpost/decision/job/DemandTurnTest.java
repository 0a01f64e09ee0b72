package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.emulator.DemandTurnSimulation;

/**
 * Replays the load at which the share of work in time is worst: the first seconds after a pool's demand has risen to many
 * times what its machines can do.
 */
class DemandTurnTest {
    private static final int SEEDS = 12;
    private static final double TURN_MACHINES = 25;

    @Test
    void nineTenthsOfTheWorkOfATurnAreInTime() {
        double inTime = 0;
        double refused = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            DemandTurnSimulation.Result result = DemandTurnSimulation.run(seed, TURN_MACHINES);
            assertEquals("", result.violations(), "seed " + seed);
            inTime += result.inTime() / SEEDS;
            refused += result.refused() / SEEDS;
        }
        assertTrue(inTime >= 0.9, "share of the work in time: " + inTime);
        assertTrue(refused <= 0.01, "share of the work refused while machines could be had: " + refused);
    }
}
