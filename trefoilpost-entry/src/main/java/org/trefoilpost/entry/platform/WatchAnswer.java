package org.trefoilpost.entry.platform;

import java.util.Map;

/**
 * The answer to a watch: the keys that changed, and the revision to watch from next.
 */
public final class WatchAnswer {
    private final long revision;
    private final Map<String, Long> changes;

    private WatchAnswer(long revision, Map<String, Long> changes) {
        this.revision = revision;
        this.changes = changes;
    }

    /**
     * Obtains an answer.
     *
     * @param revision  the service's revision
     * @param changes  the keys that changed or were deleted, each with the revision of its change, not null
     * @return the answer, not null
     */
    public static WatchAnswer of(long revision, Map<String, Long> changes) {
        return new WatchAnswer(revision, Map.copyOf(changes));
    }

    /**
     * Returns the service's revision at the answer.
     *
     * @return the revision
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns the keys that changed or were deleted, each with the revision of its change.
     *
     * @return the unmodifiable changes, empty if the wait ended without one, not null
     */
    public Map<String, Long> changes() {
        return changes;
    }
}
