package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ConfigurationBoundTest {
    private final ConfigurationBound bound = new ConfigurationBound(2_000);

    @Test
    void confirmationHoldsForTheTimeInWhichAnotherConfigurationNeedNotBeInForce() {
        assertTrue(bound.isConfirmed(10_000, 10_000));
        assertTrue(bound.isConfirmed(10_000, 12_000));
        assertFalse(bound.isConfirmed(10_000, 12_001));
    }

    @Test
    void watchesKeepToTheBound() {
        assertEquals(WatchTimes.within(2_000), bound.watchTimes());
        assertTrue(bound.isConfirmed(0, bound.watchTimes().timeoutMillis()));
    }

    @Test
    void boundMustBePositive() {
        assertThrows(IllegalArgumentException.class, () -> new ConfigurationBound(0));
    }
}
