package org.trefoilpost.entry.platform;

import java.util.List;

/**
 * The answer to a watch: the keys that changed, and the revision to watch from next.
 */
public final class WatchAnswer {
    private final long revision;
    private final List<String> changedKeys;

    private WatchAnswer(long revision, List<String> changedKeys) {
        this.revision = revision;
        this.changedKeys = changedKeys;
    }

    /**
     * Obtains an answer.
     *
     * @param revision  the service's revision
     * @param changedKeys  the keys that changed or were deleted, not null
     * @return the answer, not null
     */
    public static WatchAnswer of(long revision, List<String> changedKeys) {
        return new WatchAnswer(revision, List.copyOf(changedKeys));
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
     * Returns the keys that changed or were deleted.
     *
     * @return the unmodifiable keys, empty if the wait ended without a change, not null
     */
    public List<String> changedKeys() {
        return changedKeys;
    }
}
