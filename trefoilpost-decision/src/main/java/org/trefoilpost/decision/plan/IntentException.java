package org.trefoilpost.decision.plan;

import java.util.Objects;

/**
 * Thrown when an intent can't be read.
 */
public final class IntentException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final IntentFault fault;
    private final String field;

    /**
     * Constructs the exception.
     *
     * @param fault  the fault, not null
     * @param field  the field that is at fault, not null, empty for the whole body
     * @param message  what is wrong, not null
     */
    public IntentException(IntentFault fault, String field, String message) {
        super(message);
        this.fault = Objects.requireNonNull(fault, "fault");
        this.field = Objects.requireNonNull(field, "field");
    }

    /**
     * Returns why the intent can't be read.
     *
     * @return the fault, not null
     */
    public IntentFault fault() {
        return fault;
    }

    /**
     * Returns the field that is at fault.
     *
     * @return the field, not null, empty for the whole body
     */
    public String field() {
        return field;
    }
}
