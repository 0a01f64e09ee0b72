package org.trefoilpost.decision.job;

import java.util.Objects;

/**
 * The shard's document was read.
 */
public final class ShardLoaded implements JobEvent {
    private final JobDocument document;
    private final long revision;

    private ShardLoaded(JobDocument document, long revision) {
        this.document = Objects.requireNonNull(document, "document");
        this.revision = revision;
    }

    /**
     * Obtains the value.
     *
     * @param document  the document, not null
     * @param revision  its revision, 0 if the key does not exist
     * @return the value, not null
     */
    public static ShardLoaded of(JobDocument document, long revision) {
        return new ShardLoaded(document, revision);
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
     * Returns its revision, 0 if the key does not exist.
     *
     * @return its revision, 0 if the key does not exist
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns the type and the fields.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "ShardLoaded " + document + " " + revision;
    }
}
