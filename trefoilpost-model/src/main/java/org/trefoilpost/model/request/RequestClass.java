package org.trefoilpost.model.request;

import java.util.Locale;
import java.util.Optional;

/**
 * How urgent a request or a job is, from the most urgent to the least.
 */
public enum RequestClass {
    /** Goes before all others. */
    URGENT,
    /** The ordinary class. */
    NORMAL,
    /** Goes after the others, but keeps a share of its own. */
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
     * Returns the code of this class in headers and documents.
     *
     * @return the code, not null
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
