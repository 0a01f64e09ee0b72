package org.trefoilpost.decision.job;

import java.util.Objects;
import org.trefoilpost.model.JobId;

/**
 * Tells a caller how its submission or cancellation ended.
 */
public final class AnswerJob implements JobAction {
    private final JobId job;
    private final JobAnswerKind kind;
    private final String detail;

    private AnswerJob(JobId job, JobAnswerKind kind, String detail) {
        this.job = Objects.requireNonNull(job, "job");
        this.kind = Objects.requireNonNull(kind, "kind");
        this.detail = Objects.requireNonNull(detail, "detail");
    }

    /**
     * Obtains the value.
     *
     * @param job  the job, not null
     * @param kind  how it ended, not null
     * @param detail  the reason, empty if none, not null
     * @return the value, not null
     */
    public static AnswerJob of(JobId job, JobAnswerKind kind, String detail) {
        return new AnswerJob(job, kind, detail);
    }

    /**
     * Returns the job.
     *
     * @return the job, not null
     */
    public JobId job() {
        return job;
    }

    /**
     * Returns how it ended.
     *
     * @return how it ended, not null
     */
    public JobAnswerKind kind() {
        return kind;
    }

    /**
     * Returns the reason, empty if none.
     *
     * @return the reason, empty if none, not null
     */
    public String detail() {
        return detail;
    }

    /**
     * Returns the type and the fields.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "AnswerJob " + job + " " + kind + " " + detail;
    }
}
