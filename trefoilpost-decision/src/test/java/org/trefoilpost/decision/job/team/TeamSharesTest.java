package org.trefoilpost.decision.job.team;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.ResourceAmount;

/**
 * Guards against shares that are not in proportion to the weights, or that leave capacity to nobody.
 */
class TeamSharesTest {
    private static final ResourceAmount CAPACITY = new ResourceAmount(100_000, 100_000, 10);
    private static final double TOLERANCE = 1e-6;

    @Test
    void fullPoolIsSharedInProportionToTheWeights() {
        TeamShares shares =
                TeamShares.of(CAPACITY, Map.of("a", demand(1, 500_000, 0, 0), "b", demand(3, 500_000, 0, 0)));
        assertEquals(0.25, shares.share("a"), TOLERANCE);
        assertEquals(0.75, shares.share("b"), TOLERANCE);
        assertTrue(shares.isLimited("a"));
    }

    @Test
    void shareThatATeamDoesNotDemandGoesToTheOthers() {
        TeamShares shares = TeamShares.of(
                CAPACITY,
                Map.of(
                        "small", demand(2, 10_000, 0, 0),
                        "a", demand(1, 500_000, 0, 0),
                        "b", demand(2, 500_000, 0, 0)));
        assertEquals(0.3, shares.share("a"), TOLERANCE);
        assertEquals(0.6, shares.share("b"), TOLERANCE);
        assertTrue(shares.share("small") >= 0.1);
    }

    @Test
    void dominantResourcesAreShared() {
        TeamShares shares = TeamShares.of(
                CAPACITY, Map.of("cpu", demand(1, 900_000, 100_000, 0), "memory", demand(1, 300_000, 900_000, 0)));
        // With a level x, the processor is used up at x + x / 3 = 1, and memory only at x + x / 9 = 1.
        assertEquals(0.75, shares.share("cpu"), TOLERANCE);
        assertEquals(0.75, shares.share("memory"), TOLERANCE);
    }

    @Test
    void resourceThatIsUsedUpDoesNotLimitTeamsThatDoNotNeedIt() {
        TeamShares shares = TeamShares.of(
                CAPACITY,
                Map.of(
                        "a", demand(1, 500_000, 0, 0),
                        "b", demand(1, 500_000, 0, 0),
                        "gpu", demand(1, 0, 0, 8)));
        assertEquals(0.5, shares.share("a"), TOLERANCE);
        assertFalse(shares.isLimited("gpu"));
    }

    @Test
    void nobodyIsLimitedWhileThePoolHasRoom() {
        TeamShares shares =
                TeamShares.of(CAPACITY, Map.of("a", demand(1, 50_000, 0, 0), "b", demand(9, 50_000, 90_000, 10)));
        assertFalse(shares.isLimited("a"));
        assertFalse(shares.isLimited("b"));
    }

    @Test
    void poolWithoutCapacityLimitsEachTeamThatDemandsAny() {
        TeamShares shares =
                TeamShares.of(ResourceAmount.NONE, Map.of("a", demand(1, 50_000, 0, 0), "b", demand(9, 50_000, 0, 0)));
        assertTrue(shares.isLimited("a"));
        assertTrue(shares.isLimited("b"));
    }

    private static TeamDemand demand(double weight, long cpuMillis, long memoryMb, long accelerators) {
        return new TeamDemand(weight, ResourceAmount.NONE, new ResourceAmount(cpuMillis, memoryMb, accelerators));
    }
}
