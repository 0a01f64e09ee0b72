package org.trefoilpost.decision.claim;

/**
 * The purpose of a store call of the journal.
 */
enum JournalOperation {
    /** Reads the tail to take the shard over, or after a conflict of {@link #SEAL}. */
    READ_TAIL(true),
    /** Writes the tail with a higher epoch, which fences the former owner. */
    SEAL(false),
    /** Reads an archive to recover its claims. */
    RECOVER_ARCHIVE(true),
    /** Writes the tail with a batch of new claims. */
    WRITE_BATCH(false),
    /** Reads the tail after a conflict, to find out whether this or another entry wrote it. */
    RESOLVE_BATCH(true),
    /** Writes claims of the tail to an archive. */
    WRITE_ARCHIVE(false),
    /** Reads an archive after a conflict, to find out whether this or another entry wrote it. */
    RESOLVE_ARCHIVE(true),
    /** Deletes an archive whose claims have all expired. */
    DELETE(false);

    private final boolean read;

    JournalOperation(boolean read) {
        this.read = read;
    }

    boolean isRead() {
        return read;
    }
}
