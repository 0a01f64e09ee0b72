package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.emulator.PoolDays;

class PoolSchedulerTest {
    @Test
    void everyAcceptedJobCompletesWithoutFaults() {
        PoolDays.Result result = PoolDays.calm(1);
        assertEquals("", result.faults());
        assertTrue(result.starts() > 100, "starts: " + result.starts());
    }

    @Test
    void cancelledJobsAreStopped() {
        PoolDays.Result result = PoolDays.cancelling(2);
        assertEquals("", result.faults());
        assertTrue(result.stops() > 0, "stops: " + result.stops());
    }

    @Test
    void killedOwnersLoseNoJobsAndDuplicateNoRuns() {
        for (long seed = 100; seed < 140; seed++) {
            assertEquals("", PoolDays.ownersKilled(seed).faults(), "seed " + seed);
        }
    }

    @Test
    void ownerThatContinuesAfterLosingThePoolIsFenced() {
        for (long seed = 200; seed < 240; seed++) {
            assertEquals("", PoolDays.ownersUnaware(seed).faults(), "seed " + seed);
        }
    }

    @Test
    void workerCrashesPartitionsAndDelayedOrders() {
        for (long seed = 300; seed < 340; seed++) {
            assertEquals("", PoolDays.workersLost(seed).faults(), "seed " + seed);
        }
    }

    @Test
    void unavailableStoreAndLostStoreAnswers() {
        for (long seed = 400; seed < 440; seed++) {
            assertEquals("", PoolDays.storeTrouble(seed).faults(), "seed " + seed);
        }
    }

    @Test
    void failedRunCountsOnceHoweverOftenItsEndIsListed() {
        for (long seed = 600; seed < 640; seed++) {
            assertEquals("", PoolDays.failingWhileOwnersChange(seed).faults(), "seed " + seed);
        }
    }

    @Test
    void allFailuresCombined() {
        for (long seed = 500; seed < 580; seed++) {
            assertEquals("", PoolDays.everything(seed).faults(), "seed " + seed);
        }
    }
}
