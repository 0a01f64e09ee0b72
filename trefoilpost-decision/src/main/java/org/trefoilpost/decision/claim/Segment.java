package org.trefoilpost.decision.claim;

import java.util.ArrayList;
import java.util.List;
import org.trefoilpost.model.EntryId;

/**
 * A value of a shard's journal: the tail, or an archive of claims that were moved out of the tail.
 *
 * <p>The incarnation and the batch together tell a written value from any other. A tail names the first and the last of
 * its archives; the last is one less than the first if there are none.
 */
final class Segment {
    private final int shard;
    private final SegmentStamp stamp;
    private final long firstSequence;
    private final long lastSequence;
    private final List<ClaimRecord> claims;

    private Segment(int shard, SegmentStamp stamp, long first, long last, List<ClaimRecord> claims) {
        this.shard = shard;
        this.stamp = stamp;
        this.firstSequence = first;
        this.lastSequence = last;
        this.claims = claims;
    }

    static Segment tail(int shard, SegmentStamp stamp, long first, long last, List<ClaimRecord> claims) {
        return new Segment(shard, stamp, first, last, List.copyOf(claims));
    }

    static Segment archive(int shard, SegmentStamp stamp, long sequence, List<ClaimRecord> claims) {
        return new Segment(shard, stamp, sequence, sequence, List.copyOf(claims));
    }

    static Segment empty(int shard, EntryId owner) {
        return new Segment(shard, new SegmentStamp(0, owner, 0, 0), 1, 0, List.of());
    }

    int shard() {
        return shard;
    }

    SegmentStamp stamp() {
        return stamp;
    }

    long epoch() {
        return stamp.epoch();
    }

    long firstSequence() {
        return firstSequence;
    }

    long lastSequence() {
        return lastSequence;
    }

    List<ClaimRecord> claims() {
        return claims;
    }

    Segment withStamp(SegmentStamp newStamp) {
        return new Segment(shard, newStamp, firstSequence, lastSequence, claims);
    }

    static List<ClaimRecord> concat(List<ClaimRecord> left, List<ClaimRecord> right) {
        List<ClaimRecord> joined = new ArrayList<>(left.size() + right.size());
        joined.addAll(left);
        joined.addAll(right);
        return joined;
    }
}
