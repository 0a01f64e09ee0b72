package org.trefoilpost.model.base;

import java.util.Objects;
import java.util.regex.Pattern;

/**
 * Base of the names that operators and the platform give to things.
 *
 * <p>A name has 1 to 63 characters: lower-case letters, digits, dots, underscores and hyphens, the first a letter or a
 * digit. Two names are equal when their classes and their texts are equal.
 */
public abstract class AbstractName implements Comparable<AbstractName> {
    /** The most characters that a name may have. */
    public static final int MAX_LENGTH = 63;

    private static final Pattern NAME_PATTERN = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");

    private final String text;

    /**
     * Constructs a name from its text.
     *
     * @param text  the text, not null
     * @throws NullPointerException if the text is null
     * @throws IllegalArgumentException if the text is not a valid name
     */
    protected AbstractName(String text) {
        this.text = requireValid(text);
    }

    private String requireValid(String candidate) {
        Objects.requireNonNull(candidate, "text");
        if (!NAME_PATTERN.matcher(candidate).matches()) {
            throw new IllegalArgumentException(kind() + " '" + candidate
                    + "' is not valid: 1 to 63 lower-case letters, digits, dots, underscores or hyphens are allowed,"
                    + " the first a letter or a digit");
        }
        return candidate;
    }

    /**
     * Returns the text of this name.
     *
     * @return the text, not null
     */
    public final String text() {
        return text;
    }

    /**
     * Returns what this name names, for messages, such as {@code pool}.
     *
     * @return the kind, not null
     */
    protected abstract String kind();

    @Override
    public final int compareTo(AbstractName other) {
        return text.compareTo(other.text);
    }

    @Override
    public final boolean equals(Object object) {
        return object != null && object.getClass() == getClass() && ((AbstractName) object).text.equals(text);
    }

    @Override
    public final int hashCode() {
        return text.hashCode();
    }

    /**
     * Returns the text of this name.
     *
     * @return the text, not null
     */
    @Override
    public final String toString() {
        return text;
    }
}
