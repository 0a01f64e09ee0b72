package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.SubmitResult;

/**
 * Guards against callers that take a refusal of their job for an outage of the service, or the reverse.
 */
class JobReplyTest {
    @Test
    void refusalThatDependsOnTheJobIsARejection() {
        assertEquals(JobReplyStatus.REJECTED, statusOf("overload"));
        assertEquals(JobReplyStatus.REJECTED, statusOf("team-over-rate"));
        assertEquals(JobReplyStatus.REJECTED, statusOf("fits-no-worker"));
    }

    @Test
    void refusalThatDependsOnTheServiceIsNoRejection() {
        assertEquals(JobReplyStatus.UNAVAILABLE, statusOf("store-unavailable"));
        assertEquals(JobReplyStatus.UNAVAILABLE, statusOf("unknown-queue"));
    }

    private static JobReplyStatus statusOf(String reason) {
        JobReply reply = JobReply.ofRefusal(SubmitResult.refused(1_500, reason));
        assertEquals(reason, reply.reason());
        assertEquals(1_500, reply.retryAfterMillis());
        return reply.status();
    }
}
