package org.trefoilpost.decision.configuration;

import java.util.Objects;

/**
 * Content of one version of a part of the configuration, as JSON text.
 */
public final class PartDocument {
    private final ChangeVersion version;
    private final String text;

    private PartDocument(ChangeVersion version, String text) {
        this.version = version;
        this.text = text;
    }

    /**
     * Obtains a document.
     *
     * @param version  the version, not null
     * @param text  the JSON, not null
     * @return the document, not null
     */
    public static PartDocument of(ChangeVersion version, String text) {
        return new PartDocument(Objects.requireNonNull(version, "version"), Objects.requireNonNull(text, "text"));
    }

    /**
     * Returns the version.
     *
     * @return the version, not null
     */
    public ChangeVersion version() {
        return version;
    }

    /**
     * Returns the content.
     *
     * @return the JSON, not null
     */
    public String text() {
        return text;
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof PartDocument other && other.version.equals(version) && other.text.equals(text);
    }

    @Override
    public int hashCode() {
        return Objects.hash(version, text);
    }

    /**
     * Returns the version.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return version.toString();
    }
}
