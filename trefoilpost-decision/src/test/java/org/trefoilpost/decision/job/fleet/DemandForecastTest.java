package org.trefoilpost.decision.job.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.PoolDemand;

class DemandForecastTest {
    private final DemandForecast forecast = new DemandForecast();

    @Test
    void constantNeedIsForecastUnchanged() {
        for (int i = 0; i < 30; i++) {
            add(20);
        }
        assertEquals(20, forecast.expectedMachines(), 0.1);
    }

    @Test
    void growthOfLargePoolIsExtrapolated() {
        for (int i = 0; i <= 25; i++) {
            add(4 * i);
        }
        // The need grows by 4 machines per demand report, and the forecast horizon is 10 reports.
        assertTrue(forecast.expectedMachines() >= 130, "expected: " + forecast.expectedMachines());
    }

    @Test
    void growthOfSmallPoolIsCapped() {
        add(1);
        add(9);
        assertTrue(
                forecast.expectedMachines() <= 9 + DemandForecast.MAX_GROWTH_MACHINES,
                "expected: " + forecast.expectedMachines());
    }

    @Test
    void declineIsNotExtrapolated() {
        for (int i = 25; i >= 10; i--) {
            add(i);
        }
        assertTrue(forecast.expectedMachines() >= 10, "expected: " + forecast.expectedMachines());
    }

    private void add(double machines) {
        forecast.add(new PoolDemand(machines, Map.of(), Set.of()));
    }
}
