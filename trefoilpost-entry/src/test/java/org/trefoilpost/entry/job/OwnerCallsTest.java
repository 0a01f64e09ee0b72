package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class OwnerCallsTest {
    @Test
    void aRefusalAfterALostCallDoesNotSayThatNothingRan() {
        for (JobReplyStatus refused : new JobReplyStatus[] {JobReplyStatus.REJECTED, JobReplyStatus.UNAVAILABLE}) {
            JobReply reply = JobReply.refusal(refused, "overload", 500);
            assertEquals(
                    JobReplyStatus.UNCERTAIN,
                    OwnerCalls.uncertainIfCallLost(reply, true).status());
            assertEquals(reply, OwnerCalls.uncertainIfCallLost(reply, false));
        }
    }

    @Test
    void otherRepliesStand() {
        JobReply done = JobReply.of(JobReplyStatus.DONE, "stored");
        assertEquals(done, OwnerCalls.uncertainIfCallLost(done, true));
        JobReply gone = JobReply.of(JobReplyStatus.NO_JOB, "unknown-job");
        assertEquals(gone, OwnerCalls.uncertainIfCallLost(gone, true));
    }
}
