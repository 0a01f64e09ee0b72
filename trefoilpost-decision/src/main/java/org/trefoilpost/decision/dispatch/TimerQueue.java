package org.trefoilpost.decision.dispatch;

import java.util.PriorityQueue;

/**
 * Requests for which something is due at a time, the earliest first.
 */
final class TimerQueue {
    private final PriorityQueue<Timer> queue = new PriorityQueue<>();

    /**
     * Adds a request.
     *
     * @param atMillis  the time in milliseconds
     * @param requestId  the number of the request
     */
    void add(long atMillis, long requestId) {
        queue.add(new Timer(atMillis, requestId));
    }

    /**
     * Returns the time at which the first request is due.
     *
     * @return the time in milliseconds, {@link Long#MAX_VALUE} if there is no request
     */
    long nextMillis() {
        return queue.isEmpty() ? Long.MAX_VALUE : queue.peek().atMillis;
    }

    /**
     * Takes out the first request.
     *
     * @return the number of the request
     */
    long poll() {
        return queue.remove().requestId;
    }

    /**
     * A request for which something is due at a time.
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
