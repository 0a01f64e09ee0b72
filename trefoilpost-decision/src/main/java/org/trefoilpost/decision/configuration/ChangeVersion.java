package org.trefoilpost.decision.configuration;

import java.util.Objects;

/**
 * Version of the head or of one part: a number, the id of the change that wrote it, and its revision in the store.
 *
 * <p>The key of a part holds the number and the change's id, so that two changes based on the same head write different
 * keys. The revision is not part of equality.
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
     * @param number  the version number of the head that the change makes, not negative
     * @param change  the id of the change that wrote it, not null
     * @param revision  the revision of the key in the store
     * @return the version, not null
     */
    public static ChangeVersion of(long number, ChangeId change, long revision) {
        return new ChangeVersion(number, Objects.requireNonNull(change, "change"), revision);
    }

    /**
     * Parses a version from the form that {@link #toString()} returns.
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
     * Returns the version number of the head that the change made.
     *
     * @return the number, not negative
     */
    public long number() {
        return number;
    }

    /**
     * Returns the id of the change that wrote this version.
     *
     * @return the id, not null
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
     * Returns the number and the change's id, separated by a hyphen.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return Long.toString(number) + SEPARATOR + change;
    }
}
