package org.trefoilpost.decision.plan;

import java.util.Objects;

/**
 * Thrown when the JSON of an intent is invalid.
 */
public final class IntentException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final IntentFault fault;
    private final String field;

    /**
     * Constructs an exception.
     *
     * @param fault  the kind of fault, not null
     * @param field  the invalid field, not null, empty for the whole body
     * @param message  the field, the fault and what is expected, not null
     */
    public IntentException(IntentFault fault, String field, String message) {
        super(message);
        this.fault = Objects.requireNonNull(fault, "fault");
        this.field = Objects.requireNonNull(field, "field");
    }

    /**
     * Returns the kind of fault.
     *
     * @return the fault, not null
     */
    public IntentFault fault() {
        return fault;
    }

    /**
     * Returns the invalid field.
     *
     * @return the field, not null, empty for the whole body
     */
    public String field() {
        return field;
    }
}
