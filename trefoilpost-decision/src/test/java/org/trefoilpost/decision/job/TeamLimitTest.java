package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.LongFunction;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.emulator.TeamDemandMove;
import org.trefoilpost.decision.job.emulator.TeamLimitScenario;

/**
 * Guards against a team that runs more than its cap over all pools, and against work that waits though its team has room.
 */
class TeamLimitTest {
    private static final int SEEDS = 10;

    @Test
    void demandMovesFromPoolToPool() {
        check(1_000, TeamLimitScenario::withoutFaults);
    }

    @Test
    void killedOwnerLeavesItsGrantToTheNextOne() {
        check(1_100, TeamLimitScenario::ownersKilled);
    }

    @Test
    void thawedOwnerStartsNothingBeyondTheGrantItHeld() {
        check(1_200, TeamLimitScenario::ownersFrozen);
    }

    @Test
    void ownerWithoutStoreKeepsToItsGrant() {
        check(1_300, TeamLimitScenario::ownersCutOff);
    }

    @Test
    void twoOwnersOfAPoolTogetherKeepToItsGrant() {
        check(1_400, TeamLimitScenario::ownersRobbed);
    }

    @Test
    void runsOnWorkersThatHaveNotAnsweredTheNewOwnerCount() {
        check(1_500, TeamLimitScenario::takeoversWithSilentWorkers);
    }

    @Test
    void nothingStartsWhileMoreRunsThanALoweredCap() {
        check(1_600, TeamLimitScenario::capsChanged);
    }

    @Test
    void lostAndLateAnswersOfTheStoreRaiseNoGrantTwice() {
        check(1_700, TeamLimitScenario::answersLost);
    }

    @Test
    void allFailuresCombined() {
        check(1_800, TeamLimitScenario::allFaults);
    }

    @Test
    void demandThatMovesToOnePoolReachesTheCapThereIn2Seconds() {
        for (long seed = 1; seed <= 40; seed++) {
            for (int formerPools = 1; formerPools <= 2; formerPools++) {
                long millis = TeamDemandMove.moveMillis(seed, formerPools);
                assertTrue(millis <= 2_000, "seed " + seed + " from " + formerPools + " pools: " + millis + " ms");
            }
        }
    }

    @Test
    void startWaitsForAtMostOneCallOfTheStoreWhileTheCapHasRoom() {
        for (long seed = 1; seed <= 40; seed++) {
            // Three ticks, the commit, the write of the grant and the start take up to 78 ms in the emulation. A write
            // that
            // conflicts with one of another pool is made again, which takes up to 28 ms.
            long millis = TeamDemandMove.longestStartMillis(seed);
            assertTrue(millis <= 106, "seed " + seed + ": " + millis + " ms");
        }
    }

    private static void check(long firstSeed, LongFunction<String> scenario) {
        for (long seed = firstSeed; seed < firstSeed + SEEDS; seed++) {
            assertEquals("", scenario.apply(seed), "seed " + seed);
        }
    }
}
