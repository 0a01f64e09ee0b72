package org.trefoilpost.decision.job;

import java.util.Locale;

/**
 * How a submission or a cancellation ended.
 */
public enum JobAnswerKind {
    /** The job is kept. */
    ACCEPTED,
    /** The same job was kept before. */
    REPEATED,
    /** Another job has the name. */
    CONFLICTING,
    /** The job is not kept. */
    REFUSED,
    /** The job is cancelled or will be as soon as its task ends. */
    CANCELLED,
    /** The job had ended before. */
    ENDED,
    /** No such job is known. */
    UNKNOWN;
    /**
     * Returns the code in documents and answers.
     *
     * @return the code, not null
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
