package org.trefoilpost.decision.plan;

import java.util.Locale;

/**
 * Why an intent can't be read.
 */
public enum IntentFault {
    /** The body isn't a JSON object. */
    NOT_JSON,
    /** No intent has the kind. */
    UNKNOWN_KIND,
    /** A field that the kind needs is missing. */
    MISSING_FIELD,
    /** A field has an invalid value. */
    INVALID_VALUE,
    /** A field isn't known to the kind, or excludes another one that is there. */
    UNEXPECTED_FIELD;

    /**
     * Returns the code of this fault, such as {@code unknown-kind}.
     *
     * @return the code, not null
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
