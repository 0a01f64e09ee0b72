package org.trefoilpost.entry.job;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.trefoilpost.decision.job.JobPhase;
import org.trefoilpost.decision.job.SubmitResult;

/**
 * The answer to a caller's request about a job or a queue.
 *
 * @param status  the status, not null
 * @param reason  the stable reason code, not null
 * @param retryAfterMillis  the delay after which the caller may retry, in milliseconds, 0 if none is proposed
 * @param phase  the job's phase, empty if it was not requested, not null
 * @param queuedJobs  the number of jobs that wait in the queue, -1 if it was not requested
 */
public record JobReply(
        JobReplyStatus status, String reason, long retryAfterMillis, Optional<JobPhase> phase, int queuedJobs) {
    private static final int NO_COUNT = -1;
    /** The reasons of refusals that depend on the job, rather than on the state of the service. */
    private static final Set<String> REJECTION_REASONS = Set.of("overload", "team-over-rate", "fits-no-worker");

    /**
     * Constructs a reply and checks that status and reason are not null.
     */
    public JobReply {
        Objects.requireNonNull(status, "status");
        Objects.requireNonNull(reason, "reason");
    }

    /**
     * Obtains a reply that has only a status and a reason.
     *
     * @param status  the status, not null
     * @param reason  the stable reason code, not null
     * @return the reply, not null
     */
    public static JobReply of(JobReplyStatus status, String reason) {
        return new JobReply(status, reason, 0, Optional.empty(), NO_COUNT);
    }

    /**
     * Obtains a refusal that proposes a retry.
     *
     * @param status  the status, not null
     * @param reason  the stable reason code, not null
     * @param retryAfterMillis  the delay after which the caller may retry, in milliseconds
     * @return the reply, not null
     */
    public static JobReply refusal(JobReplyStatus status, String reason, long retryAfterMillis) {
        return new JobReply(status, reason, retryAfterMillis, Optional.empty(), NO_COUNT);
    }

    /**
     * Obtains the refusal of a submitted job.
     *
     * @param result  the decision to refuse the job, not null
     * @return the reply, not null
     */
    public static JobReply ofRefusal(SubmitResult result) {
        JobReplyStatus status =
                REJECTION_REASONS.contains(result.reason()) ? JobReplyStatus.REJECTED : JobReplyStatus.UNAVAILABLE;
        return refusal(status, result.reason(), result.retryAfterMillis());
    }

    /**
     * Obtains a reply with the phase of a job.
     *
     * @param phase  the phase, not null
     * @return the reply, not null
     */
    public static JobReply ofPhase(JobPhase phase) {
        return new JobReply(JobReplyStatus.DONE, "known", 0, Optional.of(phase), NO_COUNT);
    }

    /**
     * Obtains a reply with the length of a queue.
     *
     * @param queuedJobs  the number of jobs that wait in the queue
     * @return the reply, not null
     */
    public static JobReply ofQueuedJobs(int waiting) {
        return new JobReply(JobReplyStatus.DONE, "counted", 0, Optional.empty(), waiting);
    }
}
