package org.trefoilpost.bench.routing;

import java.util.PriorityQueue;

/**
 * A clock that jumps from event to event.
 */
final class VirtualTime {
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nowMillis;
    private long scheduled;

    long nowMillis() {
        return nowMillis;
    }

    void after(long delayMillis, Runnable action) {
        events.add(new Event(nowMillis + delayMillis, scheduled, action));
        scheduled++;
    }

    void runUntil(long endMillis) {
        while (!events.isEmpty() && events.peek().atMillis <= endMillis) {
            Event event = events.poll();
            nowMillis = event.atMillis;
            event.action.run();
        }
        nowMillis = endMillis;
    }

    /**
     * An action at a time; actions of one time run in the order in which they were scheduled.
     */
    private static final class Event implements Comparable<Event> {
        private final long atMillis;
        private final long order;
        private final Runnable action;

        private Event(long atMillis, long order, Runnable action) {
            this.atMillis = atMillis;
            this.order = order;
            this.action = action;
        }

        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }
}
