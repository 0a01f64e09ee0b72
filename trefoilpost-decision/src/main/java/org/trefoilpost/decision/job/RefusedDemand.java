package org.trefoilpost.decision.job;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Adds up what jobs asked for that were refused over the last while.
 */
final class RefusedDemand {
    private final long windowMillis;
    private final Deque<RefusedJob> refusedJobs = new ArrayDeque<>();
    private ResourceAmount sum = ResourceAmount.NONE;

    RefusedDemand(long windowMillis) {
        this.windowMillis = windowMillis;
    }

    /**
     * Adds the tasks of a job that could start at once.
     */
    void add(JobSpec job, long nowMillis) {
        ResourceAmount demand = ResourceAmount.NONE;
        for (StepSpec step : job.steps()) {
            if (step.after().isEmpty()) {
                demand = demand.plus(step.reservedDemand().times(step.count()));
            }
        }
        refusedJobs.add(new RefusedJob(nowMillis, demand));
        sum = sum.plus(demand);
    }

    /**
     * Returns what was refused over the last while.
     */
    ResourceAmount sum(long nowMillis) {
        while (!refusedJobs.isEmpty() && nowMillis - refusedJobs.peek().refusedMillis() > windowMillis) {
            sum = sum.minus(refusedJobs.poll().demand());
        }
        return sum;
    }

    /**
     * What a job asked for at a time.
     */
    private record RefusedJob(long refusedMillis, ResourceAmount demand) {}
}
