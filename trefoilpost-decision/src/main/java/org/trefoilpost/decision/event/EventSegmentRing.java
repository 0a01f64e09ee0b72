package org.trefoilpost.decision.event;

import java.util.List;

/**
 * Decides into which segment an event goes, so that the log keeps within a bound.
 *
 * <p>The log is a ring of documents. A segment that is full is followed by the next one, which replaces the oldest.
 */
public final class EventSegmentRing {
    /** The log that the system uses. */
    public static final EventSegmentRing DEFAULT = new EventSegmentRing(64 * 1024, 16);

    private final int maxSegmentBytes;
    private final int segmentCount;

    private EventSegmentRing(int maxSegmentBytes, int segments) {
        this.maxSegmentBytes = maxSegmentBytes;
        this.segmentCount = segments;
    }

    /**
     * Obtains a log.
     *
     * @param maxSegmentBytes  the most bytes of a segment's document, more than one event has
     * @param segments  the number of segments, at least 2
     * @return the log, not null
     * @throws IllegalArgumentException if there are fewer than 2 segments
     */
    public static EventSegmentRing of(int maxSegmentBytes, int segments) {
        if (segments < 2) {
            throw new IllegalArgumentException("segments must be at least 2: " + segments);
        }
        return new EventSegmentRing(maxSegmentBytes, segments);
    }

    /**
     * Returns the segment to write for an event: the present one with the event, or the next one if that is full.
     *
     * @param present  the newest segment, not null
     * @param event  the event, not null
     * @return the segment, not null
     */
    public EventSegment append(EventSegment present, FleetEvent event) {
        EventSegment appended = present.withEvent(event);
        if (present.events().isEmpty() || EventCodec.encode(appended).length <= maxSegmentBytes) {
            return appended;
        }
        return EventSegment.of(present.number() + 1, List.of(event));
    }

    /**
     * Returns the last part of the key under which a segment is kept.
     *
     * @param segment  the segment, not null
     * @return the part, from 0 to the number of segments less 1
     */
    public int slot(EventSegment segment) {
        return (int) (segment.number() % segmentCount);
    }
}
