package org.trefoilpost.decision.job;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Sums the resources that refused jobs asked for over a sliding time window.
 */
final class RefusedDemand {
    private final long windowMillis;
    private final Deque<RefusedJob> refusedJobs = new ArrayDeque<>();
    private ResourceAmount sum = ResourceAmount.NONE;

    RefusedDemand(long windowMillis) {
        this.windowMillis = windowMillis;
    }

    /**
     * Adds the tasks of the steps without predecessors of a job.
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
     * Returns the resources that were refused within the window.
     */
    ResourceAmount sum(long nowMillis) {
        while (!refusedJobs.isEmpty() && nowMillis - refusedJobs.peek().refusedMillis() > windowMillis) {
            sum = sum.minus(refusedJobs.poll().demand());
        }
        return sum;
    }

    /**
     * The resources that a job asked for, and when it was refused.
     */
    private record RefusedJob(long refusedMillis, ResourceAmount demand) {}
}
