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
    void lateStoreGetsMoreTimeForItsAnswerWithinTheBound() {
        for (long applyMillis = 2_000; applyMillis <= 4_000; applyMillis += 100) {
            WatchTimes times = WatchTimes.within(applyMillis);
            assertEquals(times, times.afterUnanswered(0));
            assertEquals(times, times.afterUnanswered(1));
            WatchTimes late = times.afterUnanswered(2);
            assertEquals(times.timeoutMillis(), late.timeoutMillis(), "a longer timeout hides the store's return");
            long longestAnswerMillis = WatchTimes.LONGEST.timeoutMillis() - WatchTimes.LONGEST.waitMillis();
            assertTrue(late.timeoutMillis() - late.waitMillis() >= longestAnswerMillis, "bound " + applyMillis);
        }
        assertEquals(WatchTimes.LONGEST, WatchTimes.LONGEST.afterUnanswered(2));
    }
}
