package org.trefoilpost.decision.job.advice;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.QueueConfig.AdvicePolicy;

class RequestSizeTest {
    private static final double HALF = 0.5;
    private static final AdvicePolicy USUAL = new AdvicePolicy(500, 100, 3_000);

    @Test
    void numberHasTheLeastExpectedTimeForOneWorker() {
        RequestSize size = RequestSize.of(USUAL, HALF);
        assertEquals(3, size.forAny(1, 30));
        assertEquals(800 / 0.875, size.millisForOne(), 1e-9);
    }

    @Test
    void dearWorkersAreNamedOneByOne() {
        assertEquals(1, RequestSize.of(new AdvicePolicy(0, 1_000, 3_000), HALF).forAny(5, 30));
    }

    @Test
    void workersWithoutCostAreAllNamed() {
        assertEquals(100, RequestSize.of(new AdvicePolicy(500, 0, 3_000), HALF).forAny(200, 300));
    }

    @Test
    void moreWorkersAreNamedWhereFewAreAllowed() {
        assertTrue(RequestSize.of(USUAL, 0.1).forAny(1, 30)
                > RequestSize.of(USUAL, HALF).forAny(1, 30));
        assertEquals(1, RequestSize.of(USUAL, 0.99).forAny(1, 30));
    }

    @Test
    void longRequestsAreLimitedUnlessTheTasksStartTogether() {
        RequestSize size = RequestSize.of(USUAL, HALF);
        assertEquals(5, size.limit());
        assertEquals(5, size.forAny(15, 60));
        assertTrue(size.forAll(15, 60) >= 30);
    }

    @Test
    void noMoreWorkersAreNamedThanThereAre() {
        RequestSize size = RequestSize.of(USUAL, HALF);
        assertEquals(2, size.forAny(1, 2));
        assertEquals(3, size.forAll(8, 3));
    }
}
