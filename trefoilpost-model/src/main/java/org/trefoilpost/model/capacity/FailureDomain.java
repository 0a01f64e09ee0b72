package org.trefoilpost.model.capacity;

import java.util.Locale;
import java.util.Optional;

/**
 * A group of workers that can fail together, in ascending order of size.
 */
public enum FailureDomain {
    /** No workers: no capacity is reserved for failures. */
    NONE,
    /** A single worker. */
    WORKER,
    /** All workers of one rack. */
    RACK,
    /** All workers of one data centre. */
    DATA_CENTRE;

    /**
     * Finds the domain with a code.
     *
     * @param code  the code, such as {@code data-centre}, not null
     * @return the domain, not null, empty if no domain has the code
     */
    public static Optional<FailureDomain> ofCode(String code) {
        for (FailureDomain domain : values()) {
            if (domain.code().equals(code)) {
                return Optional.of(domain);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the code of this domain in configuration documents, such as {@code data-centre}.
     *
     * @return the code in lower case with hyphens, not null
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
