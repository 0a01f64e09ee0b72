package org.trefoilpost.entry.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.trefoilpost.decision.job.JobPhase;

/**
 * The replies to callers that wait until the store holds what they say. Used on the service's thread only.
 */
final class AwaitedReplies {
    /** The replies to submissions, which wait until the job is stored in any phase. */
    private final Map<String, List<CompletableFuture<JobReply>>> submissions = new HashMap<>();
    /** The replies to cancellations, which wait until an end of the job is stored. */
    private final Map<String, List<CompletableFuture<JobReply>>> cancellations = new HashMap<>();

    /**
     * Adds a reply to the submission of a job.
     */
    CompletableFuture<JobReply> addSubmission(String job) {
        return add(submissions, job);
    }

    /**
     * Returns a reply about a job. While the job is not stored it may be withdrawn, or lost with the ownership, so the reply
     * then waits until that is known.
     *
     * @param current  supplies the reply about the job as it is now
     */
    CompletableFuture<JobReply> afterSubmission(String job, Supplier<JobReply> current) {
        return submissions.containsKey(job)
                ? addSubmission(job)
                        .thenApply(outcome -> outcome.status() == JobReplyStatus.UNCERTAIN ? outcome : current.get())
                : CompletableFuture.completedFuture(current.get());
    }

    /**
     * Adds a reply to the cancellation of a job.
     */
    CompletableFuture<JobReply> addCancellation(String job) {
        return add(cancellations, job);
    }

    private static CompletableFuture<JobReply> add(
            Map<String, List<CompletableFuture<JobReply>>> awaiting, String job) {
        CompletableFuture<JobReply> reply = new CompletableFuture<>();
        awaiting.computeIfAbsent(job, id -> new ArrayList<>()).add(reply);
        return reply;
    }

    /**
     * Completes the replies that a stored phase of a job confirms. A commit that was under way when the job was cancelled
     * stores an earlier phase, which does not confirm the cancellation.
     */
    void phaseStored(String job, JobPhase phase) {
        JobReply stored = JobReply.of(JobReplyStatus.DONE, "stored");
        complete(submissions, job, stored);
        if (phase.ended()) {
            complete(cancellations, job, stored);
        }
    }

    /**
     * Completes all replies of a job.
     */
    void complete(String job, JobReply reply) {
        complete(submissions, job, reply);
        complete(cancellations, job, reply);
    }

    /**
     * Completes all replies.
     */
    void completeAll(JobReply reply) {
        List.copyOf(submissions.keySet()).forEach(job -> complete(submissions, job, reply));
        List.copyOf(cancellations.keySet()).forEach(job -> complete(cancellations, job, reply));
    }

    private static void complete(Map<String, List<CompletableFuture<JobReply>>> awaiting, String job, JobReply reply) {
        List<CompletableFuture<JobReply>> replies = awaiting.remove(job);
        if (replies != null) {
            replies.forEach(awaited -> awaited.complete(reply));
        }
    }
}
