package org.trefoilpost.decision.claim;

import org.trefoilpost.model.EntryId;

/**
 * Identifies the write of a segment: the owner that wrote it, its epoch, the incarnation of its process, and the number
 * of the write in that process.
 */
final class SegmentStamp {
    private final long epoch;
    private final EntryId owner;
    private final long incarnation;
    private final long writeNumber;

    SegmentStamp(long epoch, EntryId owner, long incarnation, long writeNumber) {
        this.epoch = epoch;
        this.owner = owner;
        this.incarnation = incarnation;
        this.writeNumber = writeNumber;
    }

    long epoch() {
        return epoch;
    }

    EntryId owner() {
        return owner;
    }

    long incarnation() {
        return incarnation;
    }

    long writeNumber() {
        return writeNumber;
    }

    boolean isSameWrite(SegmentStamp other) {
        return other.incarnation == incarnation && other.writeNumber == writeNumber;
    }
}
