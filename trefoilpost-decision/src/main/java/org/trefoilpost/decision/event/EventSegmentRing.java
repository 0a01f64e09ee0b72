package org.trefoilpost.decision.event;

import java.util.List;

/**
 * Ring of segments that bounds the size of the stored event log.
 *
 * <p>Each segment is one document. When the newest segment is full, the next event starts a new one, which overwrites
 * the oldest.
 */
public final class EventSegmentRing {
    /** The ring of the production event log: 16 segments of up to 64 KiB. */
    public static final EventSegmentRing DEFAULT = new EventSegmentRing(64 * 1024, 16);

    private final int maxSegmentBytes;
    private final int segmentCount;

    private EventSegmentRing(int maxSegmentBytes, int segmentCount) {
        this.maxSegmentBytes = maxSegmentBytes;
        this.segmentCount = segmentCount;
    }

    /**
     * Obtains a ring.
     *
     * @param maxSegmentBytes  the maximum size of a segment's document, in bytes, larger than that of a single event
     * @param segmentCount  the number of segments, at least 2
     * @return the ring, not null
     * @throws IllegalArgumentException if there are fewer than 2 segments
     */
    public static EventSegmentRing of(int maxSegmentBytes, int segmentCount) {
        if (segmentCount < 2) {
            throw new IllegalArgumentException("segments must be at least 2: " + segmentCount);
        }
        return new EventSegmentRing(maxSegmentBytes, segmentCount);
    }

    /**
     * Returns the segment to write for an event: the newest one with the event added, or a new one if that is full.
     *
     * @param newest  the newest segment, not null
     * @param event  the event, not null
     * @return the segment, not null
     */
    public EventSegment append(EventSegment newest, FleetEvent event) {
        EventSegment appended = newest.withEvent(event);
        if (newest.events().isEmpty() || EventCodec.encode(appended).length <= maxSegmentBytes) {
            return appended;
        }
        return EventSegment.of(newest.number() + 1, List.of(event));
    }

    /**
     * Returns the position of a segment in the ring, which is the last part of its key in the store.
     *
     * @param segment  the segment, not null
     * @return the position, from 0 to the number of segments minus 1
     */
    public int slot(EventSegment segment) {
        return (int) (segment.number() % segmentCount);
    }
}
