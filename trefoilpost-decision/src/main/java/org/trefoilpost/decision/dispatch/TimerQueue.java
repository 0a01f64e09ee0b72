package org.trefoilpost.decision.dispatch;

import java.util.PriorityQueue;

/**
 * Queue of timers of requests, the earliest first.
 */
final class TimerQueue {
    private final PriorityQueue<Timer> queue = new PriorityQueue<>();

    /**
     * Adds a timer.
     *
     * @param atMillis  the time at which it is due, in milliseconds
     * @param requestId  the id of the request
     */
    void add(long atMillis, long requestId) {
        queue.add(new Timer(atMillis, requestId));
    }

    /**
     * Returns the time at which the first timer is due.
     *
     * @return the time in milliseconds, {@link Long#MAX_VALUE} if there is no timer
     */
    long nextMillis() {
        return queue.isEmpty() ? Long.MAX_VALUE : queue.peek().atMillis;
    }

    /**
     * Removes the first timer.
     *
     * @return the id of its request
     */
    long poll() {
        return queue.remove().requestId;
    }

    /**
     * The time at which an action of a request is due.
     */
    private static final class Timer implements Comparable<Timer> {
        private final long atMillis;
        private final long requestId;

        private Timer(long atMillis, long requestId) {
            this.atMillis = atMillis;
            this.requestId = requestId;
        }

        @Override
        public int compareTo(Timer other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(requestId, other.requestId);
        }
    }
}
