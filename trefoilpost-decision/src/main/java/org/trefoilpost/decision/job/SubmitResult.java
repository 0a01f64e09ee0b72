package org.trefoilpost.decision.job;

import java.util.Map;

/**
 * The decision on a submitted job.
 *
 * @param kind  the kind of decision, not null
 * @param retryAfterMillis  the delay before submitting a refused job again, in milliseconds, else 0
 * @param reason  the stable reason, not null
 * @param inputs  further values that led to the decision, for the log, not null
 */
public record SubmitResult(Kind kind, long retryAfterMillis, String reason, Map<String, Object> inputs) {
    /** The job was accepted before. */
    public static final SubmitResult KNOWN = new SubmitResult(Kind.STORED, 0, "known", Map.of());

    /** The job is new, and counts as accepted once it is stored. */
    public static final SubmitResult PENDING = new SubmitResult(Kind.PENDING, 0, "new", Map.of());

    /**
     * Obtains the acceptance of a new job, which counts as accepted once it is stored.
     *
     * @param inputs  the values that led to it, for the log, not null
     * @return the acceptance, not null
     */
    public static SubmitResult pending(Map<String, Object> inputs) {
        return new SubmitResult(Kind.PENDING, 0, "new", inputs);
    }

    /**
     * Obtains the refusal of a job.
     *
     * @param retryAfterMillis  the delay before submitting the job again, in milliseconds
     * @param reason  the stable reason, not null
     * @return the refusal, not null
     */
    public static SubmitResult refused(long retryAfterMillis, String reason) {
        return refused(retryAfterMillis, reason, Map.of());
    }

    /**
     * Obtains the refusal of a job, with the values that led to it.
     *
     * @param retryAfterMillis  the delay before submitting the job again, in milliseconds
     * @param reason  the stable reason, not null
     * @param inputs  the values, for the log, not null
     * @return the refusal, not null
     */
    public static SubmitResult refused(long retryAfterMillis, String reason, Map<String, Object> inputs) {
        return new SubmitResult(Kind.REFUSED, retryAfterMillis, reason, inputs);
    }

    /**
     * The kind of decision.
     */
    public enum Kind {
        /** The job is stored. */
        STORED,
        /** The job is being stored. */
        PENDING,
        /** The job was not accepted and does not run. */
        REFUSED
    }
}
