package org.trefoilpost.entry.log;

import java.util.Locale;

/**
 * Converts enum constants to the codes that logs, metrics and answers contain.
 */
public final class Codes {
    private Codes() {}

    /**
     * Returns the code of a constant, such as {@code not-connected} for {@code NOT_CONNECTED}.
     *
     * @param constant  the constant, not null
     * @return the code, not null
     */
    public static String of(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
