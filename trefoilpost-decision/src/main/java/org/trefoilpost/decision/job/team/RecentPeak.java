package org.trefoilpost.decision.job.team;

import java.util.ArrayDeque;
import java.util.Deque;
import org.trefoilpost.decision.job.ResourceAmount;

/**
 * The maximum of an amount over the last seconds.
 */
final class RecentPeak {
    /** Time for which an amount counts; a grant that was not used for so long is returned. */
    static final long WINDOW_MILLIS = 2_000;

    /** Values of one interval are kept as one, so that the window holds few of them. */
    private static final long INTERVAL_MILLIS = 100;

    private final Deque<Interval> intervals = new ArrayDeque<>();

    void add(ResourceAmount amount, long nowMillis) {
        Interval last = intervals.peekLast();
        if (last != null && nowMillis - last.startMillis < INTERVAL_MILLIS) {
            intervals.removeLast();
            intervals.addLast(new Interval(last.startMillis, Amounts.max(last.peak, amount)));
        } else {
            intervals.addLast(new Interval(nowMillis, amount));
        }
        while (intervals.peekFirst().startMillis < nowMillis - WINDOW_MILLIS) {
            intervals.removeFirst();
        }
    }

    ResourceAmount peak() {
        return intervals.stream().map(Interval::peak).reduce(ResourceAmount.NONE, Amounts::max);
    }

    /**
     * The maximum of the values of an interval.
     */
    private record Interval(long startMillis, ResourceAmount peak) {}
}
