package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.function.LongFunction;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.emulator.TeamLimitScenario;

/**
 * Guards against a team that runs more than its cap over all pools, and against work that waits though its team has room.
 */
class TeamLimitTest {
    private static final int SEEDS = 15;

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

    private static void check(long firstSeed, LongFunction<String> scenario) {
        for (long seed = firstSeed; seed < firstSeed + SEEDS; seed++) {
            assertEquals("", scenario.apply(seed), "seed " + seed);
        }
    }
}
