package org.trefoilpost.standins.platform;

/**
 * The latest change of a key.
 */
final class Change {
    private final String key;
    private final long revision;
    private final boolean deleted;

    private Change(String key, long revision, boolean deleted) {
        this.key = key;
        this.revision = revision;
        this.deleted = deleted;
    }

    static Change of(String key, long revision, boolean deleted) {
        return new Change(key, revision, deleted);
    }

    String key() {
        return key;
    }

    long revision() {
        return revision;
    }

    boolean isDeleted() {
        return deleted;
    }
}
