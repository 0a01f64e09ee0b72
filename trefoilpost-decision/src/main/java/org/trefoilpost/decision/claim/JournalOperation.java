package org.trefoilpost.decision.claim;

/**
 * What a store call of the journal is for.
 */
enum JournalOperation {
    /** Reads the tail to take the shard over. */
    READ_TAIL(true),
    /** Writes the tail with a higher epoch. */
    SEAL(false),
    /** Reads an archive to recover its claims. */
    RECOVER_ARCHIVE(true),
    /** Writes the tail with more claims. */
    WRITE_BATCH(false),
    /** Reads the tail after a write of it conflicted. */
    RESOLVE_BATCH(true),
    /** Writes claims of the tail to an archive. */
    WRITE_ARCHIVE(false),
    /** Reads an archive after a write of it conflicted. */
    RESOLVE_ARCHIVE(true),
    /** Deletes an archive whose claims are no longer held. */
    DELETE(false);

    private final boolean read;

    JournalOperation(boolean read) {
        this.read = read;
    }

    boolean isRead() {
        return read;
    }
}
