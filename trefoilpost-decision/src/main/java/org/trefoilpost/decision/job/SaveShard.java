package org.trefoilpost.decision.job;

import java.util.Objects;

/**
 * Asks for a write of the shard's document.
 */
public final class SaveShard implements JobAction {
    private final JobDocument document;
    private final long expectedRevision;

    private SaveShard(JobDocument document, long expectedRevision) {
        this.document = Objects.requireNonNull(document, "document");
        this.expectedRevision = expectedRevision;
    }

    /**
     * Obtains the value.
     *
     * @param document  the document, not null
     * @param expectedRevision  the revision that the document must still have
     * @return the value, not null
     */
    public static SaveShard of(JobDocument document, long expectedRevision) {
        return new SaveShard(document, expectedRevision);
    }

    /**
     * Returns the document.
     *
     * @return the document, not null
     */
    public JobDocument document() {
        return document;
    }

    /**
     * Returns the revision that the document must still have.
     *
     * @return the revision that the document must still have
     */
    public long expectedRevision() {
        return expectedRevision;
    }

    /**
     * Returns the type and the fields.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "SaveShard " + document + " " + expectedRevision;
    }
}
