package org.trefoilpost.decision.job;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Adds up what jobs asked for that were refused over the last while.
 */
final class OfferedWork {
    private final long windowMillis;
    private final Deque<Offer> offers = new ArrayDeque<>();
    private Demand sum = Demand.NONE;

    OfferedWork(long windowMillis) {
        this.windowMillis = windowMillis;
    }

    /**
     * Adds the tasks of a job that could start at once.
     */
    void add(JobSpec job, long nowMillis) {
        Demand demand = Demand.NONE;
        for (StepSpec step : job.steps()) {
            if (step.after().isEmpty()) {
                demand = demand.plus(step.reservedDemand().times(step.count()));
            }
        }
        offers.add(new Offer(nowMillis, demand));
        sum = sum.plus(demand);
    }

    /**
     * Returns what was refused over the last while.
     */
    Demand sum(long nowMillis) {
        while (!offers.isEmpty() && nowMillis - offers.peek().millis() > windowMillis) {
            sum = sum.minus(offers.poll().demand());
        }
        return sum;
    }

    /**
     * What a job asked for at a time.
     */
    private record Offer(long millis, Demand demand) {}
}
