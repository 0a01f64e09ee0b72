package org.trefoilpost.decision.job.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.PoolDemand;

class NeedTrendTest {
    private final NeedTrend trend = new NeedTrend();

    @Test
    void aSteadyNeedIsExpectedToStay() {
        for (int i = 0; i < 30; i++) {
            add(20);
        }
        assertEquals(20, trend.expected(), 0.1);
    }

    @Test
    void theNeedOfALargePoolIsExpectedToGoOnGrowing() {
        for (int i = 0; i <= 25; i++) {
            add(4 * i);
        }
        // It grows by 4 machines an answer, and a move takes ten answers.
        assertTrue(trend.expected() >= 130, "expected: " + trend.expected());
    }

    @Test
    void theNeedOfASmallPoolIsExpectedToGrowByAFewMachinesAtMost() {
        add(1);
        add(9);
        assertTrue(trend.expected() <= 9 + NeedTrend.MOST_AHEAD, "expected: " + trend.expected());
    }

    @Test
    void aFallingNeedIsNotExpectedToFallFurther() {
        for (int i = 25; i >= 10; i--) {
            add(i);
        }
        assertTrue(trend.expected() >= 10, "expected: " + trend.expected());
    }

    private void add(double machines) {
        trend.add(new PoolDemand(machines, Map.of()));
    }
}
