package org.trefoilpost.entry.job;

import org.trefoilpost.decision.job.Decision;

/**
 * What is logged and answered if the program fails on a request.
 */
final class RequestFailures {
    /** The request may have been carried out in part before the failure. */
    static final JobReply REPLY = JobReply.of(JobReplyStatus.UNCERTAIN, "internal");

    private RequestFailures() {}

    /**
     * Describes a failure on a request, and where it was thrown, for the log.
     *
     * @param kind  what is requested, not null
     */
    static Decision describe(String kind, Throwable failure) {
        StackTraceElement[] frames = failure.getStackTrace();
        return Decision.failure("request-failed")
                .with("kind", kind)
                .with("failure", failure.toString())
                .with("at", frames.length == 0 ? "unknown" : frames[0].toString());
    }

    /**
     * Describes a failure on a request to the owner of a pool. The request itself may be what the program fails on, so a
     * request whose job cannot be told is described without it.
     */
    static Decision describe(JobRequest request, Throwable failure) {
        Decision decision = describe(request.getClass().getSimpleName(), failure);
        try {
            return request instanceof JobRequest.AboutJob about ? decision.with("job", about.job()) : decision;
        } catch (RuntimeException e) {
            return decision.with("job", "unknown: " + e);
        }
    }
}
