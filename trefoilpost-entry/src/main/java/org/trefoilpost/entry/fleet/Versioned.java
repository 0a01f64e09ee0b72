package org.trefoilpost.entry.fleet;

import java.util.Objects;

/**
 * A document with the revision of its key in the key-value store.
 *
 * @param <T> the type of the document
 */
final class Versioned<T> {
    private final T document;
    private final long revision;

    private Versioned(T document, long revision) {
        this.document = document;
        this.revision = revision;
    }

    /**
     * Obtains a document with its revision.
     *
     * @param <T>  the type of the document
     * @param document  the document, not null
     * @param revision  the revision, 0 if the key does not exist
     * @return the versioned document, not null
     */
    static <T> Versioned<T> of(T document, long revision) {
        return new Versioned<>(Objects.requireNonNull(document, "document"), revision);
    }

    /**
     * Returns the document.
     *
     * @return the document, not null
     */
    T document() {
        return document;
    }

    /**
     * Returns the revision.
     *
     * @return the revision, 0 if the key does not exist
     */
    long revision() {
        return revision;
    }

    /**
     * Returns the document and its revision.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return document + "@" + revision;
    }
}
