package org.trefoilpost.decision.job.advice;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.QueueConfig.AdvicePolicy;

class RequestSizeTest {
    private static final double HALF = 0.5;
    private static final AdvicePolicy USUAL = new AdvicePolicy(500, 100, 3_000);

    @Test
    void numberHasTheLeastExpectedTimeForOneWorker() {
        RequestSize size = RequestSize.of(USUAL, HALF);
        assertEquals(3, size.forAny(1, chances(30)));
        assertEquals(800 / 0.875, size.millisForOne(), 1e-9);
    }

    @Test
    void dearWorkersAreNamedOneByOne() {
        assertEquals(1, RequestSize.of(new AdvicePolicy(0, 1_000, 3_000), HALF).forAny(5, chances(30)));
    }

    @Test
    void workersWithoutCostAreAllNamed() {
        assertEquals(100, RequestSize.of(new AdvicePolicy(500, 0, 3_000), HALF).forAny(200, chances(300)));
    }

    @Test
    void moreWorkersAreNamedWhereFewAreAllowed() {
        assertTrue(RequestSize.of(USUAL, 0.1).forAny(1, chances(0.1, 30))
                > RequestSize.of(USUAL, HALF).forAny(1, chances(30)));
        assertEquals(1, RequestSize.of(USUAL, 0.99).forAny(1, chances(0.99, 30)));
    }

    @Test
    void longRequestsAreLimitedUnlessTheTasksStartTogether() {
        RequestSize size = RequestSize.of(USUAL, HALF);
        assertEquals(5, size.limit());
        assertEquals(5, size.forAny(15, chances(60)));
        assertTrue(size.forAll(15, chances(60)) >= 30);
    }

    @Test
    void noMoreWorkersAreNamedThanThereAre() {
        RequestSize size = RequestSize.of(USUAL, HALF);
        assertEquals(2, size.forAny(1, chances(2)));
        assertEquals(3, size.forAll(8, chances(3)));
    }

    /** Guards against two requests where one finds a worker: a step is often allowed on one of two that are unlike. */
    @Test
    void numberFollowsTheChancesOfTheWorkers() {
        double[] unlike = {0.5, 0.95, 0.5, 0.5, 0.5};
        assertEquals(2, RequestSize.of(new AdvicePolicy(120, 10, 3_000), HALF).forAny(1, unlike));
    }

    private static double[] chances(int workers) {
        return chances(HALF, workers);
    }

    private static double[] chances(double share, int workers) {
        double[] chances = new double[workers];
        Arrays.fill(chances, share);
        return chances;
    }
}
