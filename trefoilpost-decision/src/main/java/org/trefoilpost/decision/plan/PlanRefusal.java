package org.trefoilpost.decision.plan;

import java.util.Objects;

/**
 * A requested change that a plan leaves out, with the reason.
 */
public final class PlanRefusal {
    private final String subject;
    private final PlanRefusalReason reason;
    private final String detail;

    private PlanRefusal(String subject, PlanRefusalReason reason, String detail) {
        this.subject = Objects.requireNonNull(subject, "subject");
        this.reason = Objects.requireNonNull(reason, "reason");
        this.detail = Objects.requireNonNull(detail, "detail");
    }

    /**
     * Obtains a refusal.
     *
     * @param subject  what is left out, such as {@code worker w1}, not null
     * @param reason  why it is left out, not null
     * @param detail  an explanation, such as the figures of the pool's budget, not null
     * @return the refusal, not null
     */
    public static PlanRefusal of(String subject, PlanRefusalReason reason, String detail) {
        return new PlanRefusal(subject, reason, detail);
    }

    /**
     * Returns what is left out.
     *
     * @return the subject, not null
     */
    public String subject() {
        return subject;
    }

    /**
     * Returns why it is left out.
     *
     * @return the reason, not null
     */
    public PlanRefusalReason reason() {
        return reason;
    }

    /**
     * Returns the explanation, such as the figures of the pool's budget.
     *
     * @return the detail, not null
     */
    public String detail() {
        return detail;
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof PlanRefusal other
                && other.subject.equals(subject)
                && other.reason == reason
                && other.detail.equals(detail);
    }

    @Override
    public int hashCode() {
        return Objects.hash(subject, reason, detail);
    }

    /**
     * Returns the subject, reason and detail.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return subject + ": " + reason.code() + ", " + detail;
    }
}
