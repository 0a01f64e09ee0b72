package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.emulator.PoolDays;

class PoolSchedulerTest {
    @Test
    void aCalmDayCompletesEveryAcceptedJob() {
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
    void anOwnerThatIsKilledLosesNothingAndDoublesNothing() {
        for (long seed = 100; seed < 140; seed++) {
            assertEquals("", PoolDays.ownersKilled(seed).faults(), "seed " + seed);
        }
    }

    @Test
    void anOwnerThatGoesOnUnawareIsFencedOff() {
        for (long seed = 200; seed < 240; seed++) {
            assertEquals("", PoolDays.ownersUnaware(seed).faults(), "seed " + seed);
        }
    }

    @Test
    void workersThatCrashOrAreCutOffAndOrdersThatComeLate() {
        for (long seed = 300; seed < 340; seed++) {
            assertEquals("", PoolDays.workersLost(seed).faults(), "seed " + seed);
        }
    }

    @Test
    void aStoreThatIsDownOrLosesAnswers() {
        for (long seed = 400; seed < 440; seed++) {
            assertEquals("", PoolDays.storeTrouble(seed).faults(), "seed " + seed);
        }
    }

    @Test
    void aRunThatFailedCountsOnceHoweverOftenItsEndIsListed() {
        for (long seed = 600; seed < 640; seed++) {
            assertEquals("", PoolDays.failingWhileOwnersChange(seed).faults(), "seed " + seed);
        }
    }

    @Test
    void everythingAtOnce() {
        for (long seed = 500; seed < 580; seed++) {
            assertEquals("", PoolDays.everything(seed).faults(), "seed " + seed);
        }
    }
}
