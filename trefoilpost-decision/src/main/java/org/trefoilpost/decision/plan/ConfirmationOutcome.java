package org.trefoilpost.decision.plan;

import java.util.Locale;

/**
 * The outcome of an operator's confirmation of a plan.
 */
public enum ConfirmationOutcome {
    /** The plan is confirmed once the new index has been written. */
    CONFIRMED,
    /** The plan has been confirmed already, by this or another operator. */
    ALREADY_CONFIRMED,
    /** A document that the plan was computed from has changed, or a plan that touches the same pool was confirmed. */
    VOID,
    /** The plan has no steps to run. */
    NOTHING_TO_DO;

    /**
     * Returns the code of this outcome, such as {@code already-confirmed}.
     *
     * @return the code, not null
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
