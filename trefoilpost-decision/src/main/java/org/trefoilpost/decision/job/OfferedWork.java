package org.trefoilpost.decision.job;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Adds up the work that was handed in over the last while.
 */
final class OfferedWork {
    private final long windowMillis;
    private final Deque<Offer> offers = new ArrayDeque<>();
    private long sum;

    OfferedWork(long windowMillis) {
        this.windowMillis = windowMillis;
    }

    /**
     * Adds the ordinary tasks of a job.
     */
    void add(JobState job, WorkerHealth health, long nowMillis) {
        long work = 0;
        for (StepSpec step : job.spec.steps()) {
            if (!step.longRunning() && !step.fills()) {
                work += step.count() * step.demand().cpuMillis() * health.expectedMillis(job, step);
            }
        }
        offers.add(new Offer(nowMillis, work));
        sum += work;
    }

    /**
     * Returns the work handed in over the last while, in thousandths of a core times milliseconds.
     */
    long work(long nowMillis) {
        while (!offers.isEmpty() && nowMillis - offers.peek().millis() > windowMillis) {
            sum -= offers.poll().work();
        }
        return sum;
    }

    /**
     * Work that was handed in at a time.
     */
    private record Offer(long millis, long work) {}
}
