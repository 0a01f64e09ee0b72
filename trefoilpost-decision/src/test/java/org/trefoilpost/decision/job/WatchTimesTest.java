package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class WatchTimesTest {
    @Test
    void unansweredWatchLeavesTimeForAnotherOneWithinTheBound() {
        for (long applyMillis = 1_200; applyMillis <= 20_000; applyMillis += 100) {
            WatchTimes times = WatchTimes.within(applyMillis);
            assertTrue(times.timeoutMillis() < applyMillis, "bound " + applyMillis);
            assertTrue(times.waitMillis() > 0 && times.waitMillis() < times.timeoutMillis(), "bound " + applyMillis);
        }
    }

    @Test
    void boundOfSecondsAllowsTheLongestTimes() {
        assertEquals(WatchTimes.LONGEST, WatchTimes.within(7_000));
    }

    @Test
    void lateStoreGetsTheLongestTimes() {
        WatchTimes times = WatchTimes.within(2_000);
        assertEquals(times, times.afterUnanswered(0));
        assertEquals(times, times.afterUnanswered(1));
        assertEquals(WatchTimes.LONGEST, times.afterUnanswered(2));
    }
}
