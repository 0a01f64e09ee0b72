package org.trefoilpost.decision.event;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * Numbered segment of the event log, stored as one document.
 */
public final class EventSegment {
    /** The newest format of the document that this version reads and writes. */
    public static final int FORMAT = 1;

    private final long number;
    private final List<FleetEvent> events;

    private EventSegment(long number, List<FleetEvent> events) {
        this.number = number;
        this.events = List.copyOf(events);
    }

    /**
     * Obtains a segment.
     *
     * @param number  the number, one higher for each new segment
     * @param events  the events, oldest first, not null
     * @return the segment, not null
     */
    public static EventSegment of(long number, List<FleetEvent> events) {
        return new EventSegment(number, events);
    }

    /**
     * Returns the number.
     *
     * @return the number
     */
    public long number() {
        return number;
    }

    /**
     * Returns the events, oldest first.
     *
     * @return the events, unmodifiable, not null
     */
    public List<FleetEvent> events() {
        return events;
    }

    /**
     * Returns a copy with one more event.
     *
     * @param event  the event, not null
     * @return the segment, not null
     */
    public EventSegment withEvent(FleetEvent event) {
        List<FleetEvent> copy = new ArrayList<>(events);
        copy.add(event);
        return new EventSegment(number, copy);
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof EventSegment other && other.number == number && other.events.equals(events);
    }

    @Override
    public int hashCode() {
        return Objects.hash(number, events);
    }

    /**
     * Returns the number and the count of events.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "segment " + number + " with " + events.size() + " events";
    }
}
