package org.trefoilpost.bench.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.trefoilpost.model.request.RequestClass;

class PoolModelTest {
    private static final long RUN_MILLIS = 20_000;
    private static final long SEED = 1;
    private static final int MAX_URGENT_DELAY_MILLIS = 4_600;

    @ParameterizedTest
    @ValueSource(ints = {3, 6, 9})
    void attemptsStayWithinTheTargetInEveryScenario(int entries) {
        for (Scenario scenario : Scenario.values()) {
            ModelResult result = run(scenario, entries);
            assertTrue(
                    result.attemptsPerRequest() <= 1.1, scenario + ": " + result.attemptsPerRequest() + " per request");
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 6, 9})
    void overloadKeepsGoodputAndUrgentCallsStart(int entries) {
        ModelResult capacity = run(Scenario.CAPACITY, entries);
        ModelResult twice = run(Scenario.TWICE, entries);
        assertTrue(twice.goodput() >= 0.9 * capacity.goodput(), twice.goodput() + " of " + capacity.goodput());
        assertTrue(twice.maxStartDelayMillis(RequestClass.URGENT) <= MAX_URGENT_DELAY_MILLIS);
        assertTrue(twice.answered(RequestClass.BULK) > 0, "bulk keeps a share");
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 6, 9})
    void aFastFailingWorkerGetsFewCallsAfterFiveSeconds(int entries) {
        assertTrue(run(Scenario.FAIL_FAST, entries).failingShare() < 0.02);
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 6, 9})
    void peersCountsSpareRejectionsAgainstOwnCountsAlone(int entries) {
        ModelResult chosen = run(Scenario.CAPACITY, entries);
        ModelResult ownOnly = PoolModel.run(Scenario.CAPACITY, PolicyKind.LEAST_OWN, entries, RUN_MILLIS, SEED);
        assertTrue(chosen.rejectedAttempts() * 2 < ownOnly.rejectedAttempts(), "at most half the rejections");
        assertTrue(chosen.goodput() >= ownOnly.goodput());
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 9})
    void aSeedGivesTheSameRun(int entries) {
        ModelResult first = run(Scenario.CANCEL_WAVE, entries);
        ModelResult second = run(Scenario.CANCEL_WAVE, entries);
        assertEquals(first.attempts(), second.attempts());
        assertEquals(first.refusals(), second.refusals());
        assertEquals(first.latencyMillis(99.9), second.latencyMillis(99.9));
    }

    private static ModelResult run(Scenario scenario, int entries) {
        return PoolModel.run(scenario, PolicyKind.TWO_CHOICES, entries, RUN_MILLIS, SEED);
    }
}
