package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The time of the advice service that the steps of accepted jobs still need, in the order in which they get it.
 *
 * <p>Steps that can meet their objective are served by the priority of their queue and their latest start. All others count as
 * served before any new job, so that they are served in the end.
 */
final class AdviceBacklog {
    private final PoolState state;
    private final StartDeadlines startDeadlines;
    private final PlacementAdvice advice;
    /** The steps that can meet their objective, in the order in which they are served. */
    private final List<Need> needs = new ArrayList<>();
    /** The time for the other steps. */
    private double lateMillis;

    private long round = -1;

    AdviceBacklog(PoolState state, StartDeadlines startDeadlines, PlacementAdvice advice) {
        this.state = state;
        this.startDeadlines = startDeadlines;
        this.advice = advice;
    }

    /**
     * Returns the time in milliseconds until all requests have been answered that the steps of accepted jobs still need.
     */
    double waitMillis(Moment now) {
        updateIfDue(now);
        return lateMillis
                + advice.requests().busyMillis(now)
                + needs.stream().mapToDouble(Need::millis).sum();
    }

    /**
     * Returns by how many milliseconds the advice for a new job, or for one that was accepted before and is served after it, comes
     * too late; not positive if all that can be in time are.
     *
     * @param spareMillis  how long the advice for the job may wait, not negative
     */
    double shortageMillis(JobState job, long spareMillis, Moment now) {
        updateIfDue(now);
        Need added = need(job, now.steadyMillis() + spareMillis, 1);
        double waitMillis = lateMillis + advice.requests().busyMillis(now);
        double shortageMillis = Double.NEGATIVE_INFINITY;
        boolean found = false;
        for (Need need : needs) {
            if (!found && Need.ORDER.compare(added, need) < 0) {
                found = true;
                shortageMillis = waitMillis - spareMillis;
                waitMillis += added.millis;
            }
            if (found) {
                double delayedMillis = waitMillis - (need.latestStartMillis - now.steadyMillis());
                boolean inTimeWithout = delayedMillis <= added.millis;
                shortageMillis = inTimeWithout ? Math.max(shortageMillis, delayedMillis) : shortageMillis;
            }
            waitMillis += need.millis;
        }
        return found ? shortageMillis : waitMillis - spareMillis;
    }

    /**
     * Adds the requests for the steps of a job that was accepted.
     */
    void jobAccepted(JobState job) {
        if (job.queue.advice().isPresent() && job.spec.onDemand()) {
            long latestStartMillis = startDeadlines.latestStartsMillis(job)[0];
            needs.add(need(job, latestStartMillis, job.spec.steps().size()));
            needs.sort(Need.ORDER);
        }
    }

    private Need need(JobState job, long latestStartMillis, int steps) {
        double millis = steps * advice.stepMillis(job) * advice.requests().slowdown();
        return new Need(job.queue.priority(), latestStartMillis, millis);
    }

    private void updateIfDue(Moment now) {
        if (round != advice.round()) {
            round = advice.round();
            update(now);
        }
    }

    private void update(Moment now) {
        needs.clear();
        lateMillis = 0;
        Map<String, Double> stepMillis = new HashMap<>();
        for (JobState job : state.openJobs.values()) {
            if (job.queue != null && job.queue.advice().isPresent()) {
                double millis = stepMillis.computeIfAbsent(job.spec.queue(), queue -> advice.stepMillis(job));
                job.openOccurrences().forEach(occurrence -> {
                    for (JobStepState step : occurrence.steps) {
                        add(
                                step,
                                advice.neededMillis(step, millis, now)
                                        * advice.requests().slowdown(),
                                now);
                    }
                });
            }
        }
        needs.sort(Need.ORDER);
    }

    private void add(JobStepState step, double millis, Moment now) {
        if (millis <= 0) {
            return;
        }
        long latestStartMillis = startDeadlines.latestStartMillis(step, now);
        boolean late = latestStartMillis + startDeadlines.graceMillis(step) < now.steadyMillis();
        if (late || step.spec.bestEffort()) {
            lateMillis += millis;
        } else {
            needs.add(new Need(step.occurrence.job.queue.priority(), latestStartMillis, millis));
        }
    }

    /**
     * The time of the service that a step needs.
     */
    private record Need(int priority, long latestStartMillis, double millis) {
        private static final Comparator<Need> ORDER =
                Comparator.comparingInt(Need::priority).thenComparingLong(Need::latestStartMillis);
    }
}
