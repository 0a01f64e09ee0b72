package org.trefoilpost.decision.plan;

import java.util.Locale;

/**
 * The reasons why the JSON of an intent is invalid.
 */
public enum IntentFault {
    /** The body isn't a JSON object. */
    NOT_JSON,
    /** The kind of intent is unknown. */
    UNKNOWN_KIND,
    /** A field that the kind requires is missing. */
    MISSING_FIELD,
    /** A field has an invalid value. */
    INVALID_VALUE,
    /** The kind doesn't have the field, or the field excludes another one that is present. */
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
