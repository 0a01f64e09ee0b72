package org.trefoilpost.decision.job.advice;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class GoodShareTest {
    private final GoodShare share = new GoodShare();

    @Test
    void shareIsHalfBeforeAnyAnswer() {
        assertEquals(0.5, share.estimate());
    }

    @Test
    void shareFollowsTheLatestAnswers() {
        share.observe(200, 0);
        assertTrue(share.estimate() < 0.02);
        for (int i = 0; i < 20; i++) {
            share.observe(30, 30);
        }
        assertTrue(share.estimate() > 0.9);
    }

    @Test
    void manyDenialsAreNotTakenForChance() {
        assertTrue(share.mayAllowOthers(9));
        assertFalse(share.mayAllowOthers(10));
    }
}
