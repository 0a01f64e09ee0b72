package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class ConfigurationBoundTest {
    private final ConfigurationBound bound = new ConfigurationBound(2_000);

    @Test
    void confirmationHoldsForTheTimeInWhichAnotherConfigurationNeedNotBeInForce() {
        assertTrue(bound.isConfirmed(OptionalLong.of(0)));
        assertTrue(bound.isConfirmed(OptionalLong.of(2_000)));
        assertFalse(bound.isConfirmed(OptionalLong.of(2_001)));
        assertFalse(bound.isConfirmed(OptionalLong.empty()));
    }

    @Test
    void watchesKeepToTheBound() {
        assertEquals(
                WatchTimes.within(2_000).timeoutMillis(), bound.watchTimes().timeoutMillis());
        assertEquals(500, bound.watchTimes().waitMillis(), "a quarter of the bound");
        assertTrue(bound.isConfirmed(OptionalLong.of(bound.watchTimes().timeoutMillis())));
    }

    @Test
    void boundMustBePositive() {
        assertThrows(IllegalArgumentException.class, () -> new ConfigurationBound(0));
    }
}
