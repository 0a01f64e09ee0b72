package org.trefoilpost.decision.claim;

/**
 * The reason why a segment of a shard's journal cannot be used.
 */
public enum JournalFault {
    /** The segment has a format that is newer than this program. */
    NEWER_FORMAT,
    /** The segment's bytes are damaged or belong to another shard. */
    DAMAGED,
    /** The tail refers to an archive that does not exist. */
    MISSING
}
