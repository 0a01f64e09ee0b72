package org.trefoilpost.decision.claim;

import org.trefoilpost.model.EntryId;

/**
 * Who wrote a segment, in which epoch, and with which of its writes.
 */
final class SegmentStamp {
    private final long epoch;
    private final EntryId owner;
    private final long incarnation;
    private final long writeNumber;

    SegmentStamp(long epoch, EntryId owner, long incarnation, long batch) {
        this.epoch = epoch;
        this.owner = owner;
        this.incarnation = incarnation;
        this.writeNumber = batch;
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
