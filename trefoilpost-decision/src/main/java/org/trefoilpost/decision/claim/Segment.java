package org.trefoilpost.decision.claim;

import java.util.ArrayList;
import java.util.List;
import org.trefoilpost.model.EntryId;

/**
 * A stored value of a shard's journal: the tail, or an archive with claims that were moved out of the tail.
 *
 * <p>The incarnation and the write number of its stamp identify a written value. A tail has the sequence numbers of its
 * first and last archive; the last is one less than the first if there are no archives. An archive has its own sequence
 * number as both.
 */
final class Segment {
    private final int shard;
    private final SegmentStamp stamp;
    private final long firstSequence;
    private final long lastSequence;
    private final List<ClaimRecord> claims;

    private Segment(int shard, SegmentStamp stamp, long firstSequence, long lastSequence, List<ClaimRecord> claims) {
        this.shard = shard;
        this.stamp = stamp;
        this.firstSequence = firstSequence;
        this.lastSequence = lastSequence;
        this.claims = claims;
    }

    static Segment tail(
            int shard, SegmentStamp stamp, long firstSequence, long lastSequence, List<ClaimRecord> claims) {
        return new Segment(shard, stamp, firstSequence, lastSequence, List.copyOf(claims));
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
        List<ClaimRecord> combined = new ArrayList<>(left.size() + right.size());
        combined.addAll(left);
        combined.addAll(right);
        return combined;
    }
}
