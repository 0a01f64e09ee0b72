package org.trefoilpost.decision.job.team;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Guards against a rate that admits more than a team is entitled to, or that retries use up.
 */
class SubmissionRateTest {
    private static final long NOW = 1_000_000;

    @Test
    void bucketHoldsTwoSecondsOfTheRate() {
        SubmissionRate rate = new SubmissionRate(10, NOW);
        assertEquals(20, takeAll(rate, NOW));
        assertEquals(5, takeAll(rate, NOW + 500));
        assertEquals(20, takeAll(rate, NOW + 60_000));
    }

    @Test
    void bucketOfASmallTeamHoldsFiveJobs() {
        SubmissionRate rate = new SubmissionRate(0.2, NOW);
        assertEquals(5, takeAll(rate, NOW));
        assertEquals(0, takeAll(rate, NOW + 4_999));
        assertEquals(1, takeAll(rate, NOW + 5_000));
    }

    @Test
    void resubmissionsLeaveHalfOfTheBucketForFirstSubmissions() {
        SubmissionRate rate = new SubmissionRate(10, NOW);
        int resubmissions = 0;
        while (rate.tryTake(true, NOW)) {
            resubmissions++;
        }
        assertEquals(10, resubmissions);
        assertEquals(10, takeAll(rate, NOW));
    }

    @Test
    void refusedJobsReturnOneAfterTheOther() {
        SubmissionRate rate = new SubmissionRate(10, NOW);
        takeAll(rate, NOW);
        long first = rate.retryAfterMillis(NOW);
        assertEquals(1_100, first);
        assertEquals(first + 100, rate.retryAfterMillis(NOW));
        assertFalse(rate.tryTake(true, NOW + first - 1));
        assertTrue(rate.tryTake(true, NOW + first));
    }

    /** Guards against refusals that name ever later times, long after the bucket is full again. */
    @Test
    void namedTimeIsAtMostEightSecondsAhead() {
        SubmissionRate rate = new SubmissionRate(10, NOW);
        takeAll(rate, NOW);
        for (int i = 0; i < 1_000; i++) {
            assertTrue(rate.retryAfterMillis(NOW) <= 8_000);
        }
        takeAll(rate, NOW + 10_000);
        assertEquals(1_100, rate.retryAfterMillis(NOW + 10_000));
    }

    @Test
    void changedRateAppliesFromThenOn() {
        SubmissionRate rate = new SubmissionRate(10, NOW);
        takeAll(rate, NOW);
        rate.setJobsPerSecond(100, NOW + 500);
        assertEquals(5, takeAll(rate, NOW + 500));
        assertEquals(100, takeAll(rate, NOW + 1_500));
        rate.setJobsPerSecond(3, NOW + 100_000);
        assertEquals(6, takeAll(rate, NOW + 100_000));
    }

    @Test
    void clockThatGoesBackAddsNoTokens() {
        SubmissionRate rate = new SubmissionRate(10, NOW);
        takeAll(rate, NOW);
        assertEquals(0, takeAll(rate, NOW - 5_000));
        assertEquals(0, takeAll(rate, NOW));
    }

    private static int takeAll(SubmissionRate rate, long nowMillis) {
        int taken = 0;
        while (rate.tryTake(false, nowMillis)) {
            taken++;
        }
        return taken;
    }
}
