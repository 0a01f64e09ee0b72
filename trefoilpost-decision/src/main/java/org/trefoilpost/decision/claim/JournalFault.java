package org.trefoilpost.decision.claim;

/**
 * Why a part of a shard's journal cannot be used.
 */
public enum JournalFault {
    /** The segment has a format that is newer than this program. */
    NEWER_FORMAT,
    /** The segment's bytes are damaged or belong to another shard. */
    DAMAGED,
    /** The journal names a segment that does not exist. */
    MISSING
}
