package org.trefoilpost.decision.job.emulator;

import java.util.PriorityQueue;
import org.trefoilpost.decision.job.Moment;

/**
 * Virtual time: runs events in the order of their times without waiting, and advances the clock to each.
 */
final class VirtualTime implements EmulatorTime {
    private static final long WALL_OFFSET_MILLIS = 1_700_000_000_000L;

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nowMillis = 1_000_000;
    private long sequence;

    @Override
    public long nowMillis() {
        return nowMillis;
    }

    @Override
    public long wallMillis() {
        return nowMillis + WALL_OFFSET_MILLIS;
    }

    Moment moment() {
        return new Moment(nowMillis, wallMillis());
    }

    @Override
    public void schedule(long millis, Runnable event) {
        events.add(new Event(nowMillis + Math.max(0, millis), sequence++, event));
    }

    void runFor(long millis) {
        long end = nowMillis + millis;
        while (!events.isEmpty() && events.peek().millis <= end) {
            Event event = events.poll();
            nowMillis = event.millis;
            event.action.run();
        }
        nowMillis = end;
    }

    private record Event(long millis, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(millis, other.millis);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
