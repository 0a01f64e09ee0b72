package org.trefoilpost.decision.plan;

import java.util.Objects;

/**
 * A document that changed after a plan was computed from it.
 */
public final class VersionChange {
    private final String document;
    private final long plannedVersion;
    private final long currentVersion;

    private VersionChange(String document, long planned, long present) {
        this.document = Objects.requireNonNull(document, "document");
        this.plannedVersion = planned;
        this.currentVersion = present;
    }

    /**
     * Obtains a change.
     *
     * @param document  the document, such as {@code inventory r1}, not null
     * @param planned  the version that the plan was computed from
     * @param present  the present version
     * @return the change, not null
     */
    public static VersionChange of(String document, long planned, long present) {
        return new VersionChange(document, planned, present);
    }

    /**
     * Returns the document.
     *
     * @return the document, not null
     */
    public String document() {
        return document;
    }

    /**
     * Returns the version that the plan was computed from.
     *
     * @return the version
     */
    public long plannedVersion() {
        return plannedVersion;
    }

    /**
     * Returns the present version.
     *
     * @return the version
     */
    public long currentVersion() {
        return currentVersion;
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof VersionChange other
                && other.document.equals(document)
                && other.plannedVersion == plannedVersion
                && other.currentVersion == currentVersion;
    }

    @Override
    public int hashCode() {
        return Objects.hash(document, plannedVersion, currentVersion);
    }

    /**
     * Returns the document and both versions.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return document + " changed from version " + plannedVersion + " to " + currentVersion;
    }
}
