package org.trefoilpost.decision.plan;

import java.util.Optional;

/**
 * The kind of unit that a drain takes out of service.
 */
public enum DrainScope {
    /** One worker. */
    WORKER("worker"),
    /** All workers of a rack. */
    RACK("rack"),
    /** All workers of a data centre. */
    DATA_CENTRE("dataCentre");

    private final String field;

    DrainScope(String field) {
        this.field = field;
    }

    /**
     * Finds the scope that is given by a JSON field.
     *
     * @param field  the name of the field, such as {@code rack}, not null
     * @return the scope, not null, empty if none has the field
     */
    public static Optional<DrainScope> ofField(String field) {
        for (DrainScope scope : values()) {
            if (scope.field.equals(field)) {
                return Optional.of(scope);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the JSON field that holds the name of the worker, rack or data centre.
     *
     * @return the name of the field, not null
     */
    public String field() {
        return field;
    }
}
