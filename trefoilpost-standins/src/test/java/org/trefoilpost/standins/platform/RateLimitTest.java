package org.trefoilpost.standins.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class RateLimitTest {
    private static int accepted(RateLimit limit, int calls, long nowMillis) {
        int accepted = 0;
        for (int i = 0; i < calls; i++) {
            accepted += limit.take(nowMillis).isEmpty() ? 1 : 0;
        }
        return accepted;
    }

    @Test
    void acceptsOneSecondAtOnceThenTheRate() {
        RateLimit limit = RateLimit.of(10, 0);
        assertEquals(10, accepted(limit, 50, 0));
        assertEquals(2, accepted(limit, 50, 200));
        assertEquals(0, accepted(limit, 50, 100));
        assertEquals(10, accepted(limit, 50, 60_000));
    }

    @Test
    void saysWhenToComeBack() {
        RateLimit limit = RateLimit.of(0.25, 0);
        assertEquals(OptionalLong.empty(), limit.take(0));
        assertEquals(OptionalLong.of(4), limit.take(0));
        assertEquals(OptionalLong.of(1), limit.take(3500));
        assertEquals(OptionalLong.empty(), limit.take(4000));
    }

    @Test
    void zeroSetsNoLimit() {
        assertEquals(1000, accepted(RateLimit.of(0, 0), 1000, 0));
    }
}
