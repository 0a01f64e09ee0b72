package org.trefoilpost.decision.plan;

import java.util.Locale;

/**
 * What became of a confirmation.
 */
public enum ConfirmationOutcome {
    /** The plan is confirmed once the new index has been written. */
    CONFIRMED,
    /** The plan was confirmed before, by this or the other operator. */
    ALREADY_CONFIRMED,
    /** A document that the plan was computed from has changed, or another plan for the same pool was confirmed. */
    VOID,
    /** The plan has no step to run. */
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
