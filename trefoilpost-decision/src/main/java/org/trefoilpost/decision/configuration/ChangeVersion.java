package org.trefoilpost.decision.configuration;

import java.util.Objects;

/**
 * Version of the head or of one part: a number, the change that wrote it, and its revision in the store.
 *
 * <p>The change's id keeps two changes that start from the same head from writing the same key.
 */
public final class ChangeVersion {
    private static final char SEPARATOR = '-';

    private final long number;
    private final ChangeId change;
    private final long revision;

    private ChangeVersion(long number, ChangeId change, long revision) {
        this.number = number;
        this.change = change;
        this.revision = revision;
    }

    /**
     * Obtains a version.
     *
     * @param number  the version of the head, not negative
     * @param change  the change that wrote it, not null
     * @param revision  the revision of the key in the store
     * @return the version, not null
     */
    public static ChangeVersion of(long number, ChangeId change, long revision) {
        return new ChangeVersion(number, Objects.requireNonNull(change, "change"), revision);
    }

    /**
     * Parses a version.
     *
     * @param text  the text, such as {@code 12-a3f0}, not null
     * @param revision  the revision of the key in the store
     * @return the version, not null
     * @throws IllegalArgumentException if the text is not a version
     */
    public static ChangeVersion parse(String text, long revision) {
        int separator = text.indexOf(SEPARATOR);
        if (separator < 1) {
            throw new IllegalArgumentException("'" + text + "' is not a version: NUMBER-CHANGE is expected");
        }
        long number = Long.parseLong(text.substring(0, separator));
        return of(number, ChangeId.of(text.substring(separator + 1)), revision);
    }

    /**
     * Returns the version of the head that this version came with.
     *
     * @return the number, not negative
     */
    public long number() {
        return number;
    }

    /**
     * Returns the change that wrote this version.
     *
     * @return the change, not null
     */
    public ChangeId change() {
        return change;
    }

    /**
     * Returns the revision of the key in the store.
     *
     * @return the revision
     */
    public long revision() {
        return revision;
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof ChangeVersion other && other.number == number && other.change.equals(change);
    }

    @Override
    public int hashCode() {
        return Objects.hash(number, change);
    }

    /**
     * Returns the number and the change.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return Long.toString(number) + SEPARATOR + change;
    }
}
