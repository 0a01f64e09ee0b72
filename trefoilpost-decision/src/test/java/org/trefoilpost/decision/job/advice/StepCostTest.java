package org.trefoilpost.decision.job.advice;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class StepCostTest {
    private final StepCost cost = new StepCost();

    @Test
    void expectedTimeHoldsBeforeThereIsAnObservation() {
        assertEquals(170, cost.millis(170), 1e-9);
    }

    /** Guards against an estimate that leaves out the requests that find no worker. */
    @Test
    void requestsThatFindNoWorkerCount() {
        for (int i = 0; i < 500; i++) {
            cost.observe(100, false);
            cost.observe(200, true);
        }
        assertEquals(300, cost.millis(170), 10);
    }

    @Test
    void latestStepsCountMost() {
        for (int i = 0; i < 100; i++) {
            cost.observe(1_000, true);
        }
        for (int i = 0; i < 100; i++) {
            cost.observe(100, true);
        }
        assertEquals(100, cost.millis(100), 100);
    }
}
