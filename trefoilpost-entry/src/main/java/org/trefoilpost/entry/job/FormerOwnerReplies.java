package org.trefoilpost.entry.job;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Combines the replies of the owners of a queue's former pools to a request about a job. Used on the service's thread
 * only.
 *
 * <p>The result is the reply of an owner that knows the job: it carries out the request, or refuses it because the job
 * belongs to another team. The result is empty if all owners have answered that there is no such job. Otherwise an owner
 * that was not heard may have the job, and the result is unavailable, or uncertain if that owner may have the request.
 */
final class FormerOwnerReplies {
    /** Proposed to a caller whose job was not submitted because a former owner was not heard. */
    private static final long UNHEARD_RETRY_AFTER_MILLIS = 1_000;

    private final CompletableFuture<Optional<JobReply>> result = new CompletableFuture<>();
    private int awaitedCount;
    private Optional<JobReply> unheard = Optional.empty();

    /**
     * Constructs the combination of a number of replies, none of which has arrived.
     */
    FormerOwnerReplies(int count) {
        awaitedCount = count;
        completeIfLast();
    }

    /**
     * Returns whether a reply leaves open if the owner knows the job.
     */
    static boolean isUnheard(JobReply reply) {
        return !isKnown(reply) && reply.status() != JobReplyStatus.NO_JOB;
    }

    private static boolean isKnown(JobReply reply) {
        return reply.status() == JobReplyStatus.DONE || reply.status() == JobReplyStatus.FORBIDDEN;
    }

    /**
     * Returns the reply to a submission that was not passed on because a former owner knows the job or may know it.
     */
    static JobReply unsubmitted(JobReply former) {
        return switch (former.status()) {
            case DONE -> JobReply.of(JobReplyStatus.DONE, "known");
            case FORBIDDEN, UNCERTAIN -> former;
            default ->
                JobReply.refusal(
                        JobReplyStatus.UNAVAILABLE,
                        former.reason(),
                        Math.max(UNHEARD_RETRY_AFTER_MILLIS, former.retryAfterMillis()));
        };
    }

    /**
     * Adds a reply.
     */
    void add(JobReply reply) {
        awaitedCount--;
        if (isKnown(reply)) {
            result.complete(Optional.of(reply));
        } else if (isUnheard(reply)) {
            boolean uncertainBefore = unheard.isPresent() && unheard.get().status() == JobReplyStatus.UNCERTAIN;
            unheard = uncertainBefore ? unheard : Optional.of(unavailableOrUncertain(reply));
        }
        completeIfLast();
    }

    private static JobReply unavailableOrUncertain(JobReply reply) {
        return reply.status() == JobReplyStatus.UNAVAILABLE
                ? reply
                : JobReply.of(JobReplyStatus.UNCERTAIN, reply.reason());
    }

    private void completeIfLast() {
        if (awaitedCount == 0) {
            result.complete(unheard);
        }
    }

    /**
     * Returns the combined reply, which is completed as soon as it is certain.
     */
    CompletableFuture<Optional<JobReply>> result() {
        return result;
    }
}
