package org.trefoilpost.decision.job;

/**
 * The answer to a job that is handed in.
 *
 * @param kind  what was decided, not null
 * @param retryAfterMillis  when to come back with a refused job, in milliseconds from now, 0 for the others
 * @param reason  the stable reason, not null
 */
public record SubmitResult(Kind kind, long retryAfterMillis, String reason) {
    /** The job was accepted before. */
    public static final SubmitResult KNOWN = new SubmitResult(Kind.STORED, 0, "known");

    /** The job is accepted once it is stored. */
    public static final SubmitResult PENDING = new SubmitResult(Kind.PENDING, 0, "new");

    /**
     * Obtains a refusal.
     *
     * @param retryAfterMillis  when to come back, in milliseconds from now
     * @param reason  the stable reason, not null
     * @return the refusal, not null
     */
    public static SubmitResult refused(long retryAfterMillis, String reason) {
        return new SubmitResult(Kind.REFUSED, retryAfterMillis, reason);
    }

    /**
     * What was decided.
     */
    public enum Kind {
        /** The job is stored. */
        STORED,
        /** The job is being stored. */
        PENDING,
        /** The job was not taken and never runs. */
        REFUSED
    }
}
