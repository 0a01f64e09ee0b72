package org.trefoilpost.entry.job;

import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.decision.job.JobSpec;
import org.trefoilpost.decision.job.SubmitResult;

/**
 * Describes for the log how the owner of a pool decided on a submitted job.
 */
final class SubmissionLog {
    private SubmissionLog() {}

    static Decision decision(JobSpec spec, SubmitResult result, String pool, long token) {
        boolean refused = result.kind() == SubmitResult.Kind.REFUSED;
        return (refused ? Decision.failure("job-refused") : Decision.of("job-submitted"))
                .with("job", spec.id())
                .with("queue", spec.queue())
                .withIfPresent("team", spec.team())
                .with("pool", pool)
                .with("token", token)
                .with("outcome", result.kind().name())
                .with("reason", result.reason())
                .with("retryAfterMillis", result.retryAfterMillis())
                .withAll(result.inputs());
    }
}
