package org.trefoilpost.entry.job;

import java.util.concurrent.CompletableFuture;

/**
 * Adds up the numbers of waiting jobs that the owners of a queue's pools count. Used on the service's thread only.
 *
 * <p>The result is the sum if all owners have counted. Otherwise it is the reply of an owner that has not, as the jobs of its pool
 * may be most of those that wait.
 */
final class QueuedJobCount {
    private final CompletableFuture<JobReply> result = new CompletableFuture<>();
    private int awaitedCount;
    private int sum;

    /**
     * Constructs a count of a number of replies, none of which has arrived.
     *
     * @param count  the number, positive
     */
    QueuedJobCount(int count) {
        awaitedCount = count;
    }

    /**
     * Adds a reply.
     */
    void add(JobReply reply) {
        awaitedCount--;
        if (reply.status() != JobReplyStatus.DONE) {
            result.complete(reply);
            return;
        }
        sum += reply.queuedJobs();
        if (awaitedCount == 0) {
            result.complete(JobReply.ofQueuedJobs(sum));
        }
    }

    /**
     * Returns the combined reply, which is completed as soon as it is certain.
     */
    CompletableFuture<JobReply> result() {
        return result;
    }
}
