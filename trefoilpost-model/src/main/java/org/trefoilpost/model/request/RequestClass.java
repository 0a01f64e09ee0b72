package org.trefoilpost.model.request;

import java.util.Locale;
import java.util.Optional;

/**
 * The priority class of a request or a job, in descending order of priority.
 */
public enum RequestClass {
    /** Served before the other classes. */
    URGENT,
    /** The default class. */
    NORMAL,
    /** Served after the other classes, but guaranteed the pool's bulk share. */
    BULK;

    /**
     * Finds the class with a code.
     *
     * @param code  the code, such as {@code urgent}, not null
     * @return the class, not null, empty if no class has the code
     */
    public static Optional<RequestClass> ofCode(String code) {
        for (RequestClass candidate : values()) {
            if (candidate.code().equals(code)) {
                return Optional.of(candidate);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the code of this class in headers and documents, such as {@code urgent}.
     *
     * @return the code in lower case, not null
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
