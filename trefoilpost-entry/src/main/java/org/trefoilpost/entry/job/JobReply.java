package org.trefoilpost.entry.job;

import java.util.Objects;
import java.util.Optional;
import org.trefoilpost.decision.job.JobPhase;

/**
 * The answer to a caller's request about a job or a queue.
 *
 * @param status  what the caller is told, not null
 * @param reason  the stable reason, not null
 * @param retryAfterMillis  when to come back, in milliseconds from now, 0 if that is of no use
 * @param phase  the job's phase, if it was asked for, not null
 * @param waiting  how many jobs wait, if that was asked for, else -1
 */
public record JobReply(
        JobReplyStatus status, String reason, long retryAfterMillis, Optional<JobPhase> phase, int queuedJobs) {
    private static final int NO_COUNT = -1;

    /**
     * Constructs a reply.
     */
    public JobReply {
        Objects.requireNonNull(status, "status");
        Objects.requireNonNull(reason, "reason");
    }

    /**
     * Obtains a reply without further values.
     *
     * @param status  what the caller is told, not null
     * @param reason  the stable reason, not null
     * @return the reply, not null
     */
    public static JobReply of(JobReplyStatus status, String reason) {
        return new JobReply(status, reason, 0, Optional.empty(), NO_COUNT);
    }

    /**
     * Obtains a refusal.
     *
     * @param status  what the caller is told, not null
     * @param reason  the stable reason, not null
     * @param retryAfterMillis  when to come back, in milliseconds from now
     * @return the reply, not null
     */
    public static JobReply refusal(JobReplyStatus status, String reason, long retryAfterMillis) {
        return new JobReply(status, reason, retryAfterMillis, Optional.empty(), NO_COUNT);
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
     * @param waiting  how many jobs wait
     * @return the reply, not null
     */
    public static JobReply ofQueuedJobs(int waiting) {
        return new JobReply(JobReplyStatus.DONE, "counted", 0, Optional.empty(), waiting);
    }
}
