package org.trefoilpost.decision.job;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * Estimates the resources that newly submitted jobs keep in use, from the most recent submissions. The number of
 * submissions is fixed, so that the estimate follows a sudden rise of the demand within as many submissions.
 *
 * <p>By Little's law the resources in use are those of the work submitted per time; so a pool's need is known as soon as
 * the rate is, long before as many tasks run or wait.
 */
final class ArrivalRate {
    /** The minimum number of submissions from which the rate is computed. */
    private static final int MIN_SUBMISSIONS = 5;
    /** The time over which the rate is computed while it is high, so that chance weighs less. */
    private static final long RATE_WINDOW_MILLIS = 500;
    /** The number of submissions over which the work of a job is averaged, as the work varies by far more than the rate. */
    private static final int MAX_SUBMISSIONS = 60;
    /** The minimum time over which the rate is computed, so that jobs submitted together do not count as a high rate. */
    private static final long MIN_SPAN_MILLIS = 250;

    private final Deque<Submission> submissions = new ArrayDeque<>();
    private final RunStatistics runStatistics;
    /** The sum of the submissions' work, in thousandths of a core times milliseconds. */
    private double totalCpuWork;
    /** The sum of the memory that the submissions use, in megabytes times milliseconds. */
    private double totalMemoryWork;

    ArrivalRate(RunStatistics runStatistics) {
        this.runStatistics = runStatistics;
    }

    /**
     * Adds a job that was submitted for the first time, unless it is long-running or scheduled.
     */
    void jobSubmitted(JobState job, long nowMillis) {
        if (!job.spec.onDemand()) {
            return;
        }
        double cpuWork = 0;
        double memoryWork = 0;
        for (StepSpec step : job.spec.steps()) {
            ResourceAmount demand = step.reservedDemand().times(step.count());
            long millis = runStatistics.expectedMillis(job, step);
            cpuWork += (double) demand.cpuMillis() * millis;
            memoryWork += (double) demand.memoryMb() * millis;
        }
        add(new Submission(nowMillis, cpuWork, memoryWork));
    }

    private void add(Submission submission) {
        submissions.add(submission);
        totalCpuWork += submission.cpuWork;
        totalMemoryWork += submission.memoryWork;
        if (submissions.size() > MAX_SUBMISSIONS) {
            Submission oldest = submissions.poll();
            totalCpuWork -= oldest.cpuWork;
            totalMemoryWork -= oldest.memoryWork;
        }
    }

    /**
     * Returns the resources that the submitted work keeps in use, none until enough jobs have been submitted.
     */
    ResourceAmount sustainedUse(long nowMillis) {
        if (submissions.size() < MIN_SUBMISSIONS) {
            return ResourceAmount.NONE;
        }
        double jobsPerMilli = jobsPerMilli(nowMillis) / submissions.size();
        return new ResourceAmount((long) (totalCpuWork * jobsPerMilli), (long) (totalMemoryWork * jobsPerMilli), 0);
    }

    /**
     * Returns the rate of the submissions of the last {@link #RATE_WINDOW_MILLIS}, or of the last
     * {@link #MIN_SUBMISSIONS} if these took longer.
     */
    private double jobsPerMilli(long nowMillis) {
        int count = 0;
        long oldestMillis = nowMillis;
        for (Iterator<Submission> newest = submissions.descendingIterator(); newest.hasNext(); count++) {
            Submission submission = newest.next();
            if (count >= MIN_SUBMISSIONS && nowMillis - submission.millis > RATE_WINDOW_MILLIS) {
                break;
            }
            oldestMillis = submission.millis;
        }
        // The first submission begins the time that the others took.
        return (double) (count - 1) / Math.max(MIN_SPAN_MILLIS, nowMillis - oldestMillis);
    }

    private record Submission(long millis, double cpuWork, double memoryWork) {}
}
