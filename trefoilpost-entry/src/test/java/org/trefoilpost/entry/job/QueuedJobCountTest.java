package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import org.junit.jupiter.api.Test;

/** Guards against a count of waiting jobs that lacks those in a pool which the queue has left. */
class QueuedJobCountTest {
    @Test
    void countsOfAllOwnersAreAddedUp() {
        QueuedJobCount count = new QueuedJobCount(2);
        count.add(JobReply.ofQueuedJobs(2));
        assertFalse(count.result().isDone());
        count.add(JobReply.ofQueuedJobs(3));
        assertEquals(JobReply.ofQueuedJobs(5), count.result().join());
    }

    @Test
    void replyOfAnOwnerThatHasNotCountedIsTheResult() {
        JobReply refusal = JobReply.refusal(JobReplyStatus.UNAVAILABLE, "no-owner", 1_000);
        QueuedJobCount count = new QueuedJobCount(2);
        count.add(JobReply.ofQueuedJobs(2));
        count.add(refusal);
        assertEquals(refusal, count.result().join());
    }
}
