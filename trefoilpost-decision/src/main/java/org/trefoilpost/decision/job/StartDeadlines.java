package org.trefoilpost.decision.job;

/**
 * Computes the latest times at which steps can start for their job to meet its objective.
 */
final class StartDeadlines {
    private static final long LONG_RUNNING_START_MILLIS = 2_500;

    /** The number of workers in the request for advice that the objective of a job allows for each of its steps. */
    private static final int ADVISED_WORKERS = 30;

    private final RunStatistics runStatistics;

    StartDeadlines(RunStatistics runStatistics) {
        this.runStatistics = runStatistics;
    }

    /**
     * Returns the latest start of a step on the steady clock in milliseconds.
     */
    long latestStartMillis(JobStepState step, Moment now) {
        return step.spec.longRunning()
                ? dueMillis(step.occurrence, now) + LONG_RUNNING_START_MILLIS
                : latestStartsMillis(step.occurrence, now)[step.number];
    }

    /**
     * Returns the latest starts of the steps of an occurrence, which do not hold for its long-running steps.
     */
    long[] latestStartsMillis(OccurrenceState occurrence, Moment now) {
        return latestStartsMillis(occurrence.job, dueMillis(occurrence, now));
    }

    /**
     * Returns the latest starts of the steps of a job without a schedule.
     */
    long[] latestStartsMillis(JobState job) {
        return latestStartsMillis(job, job.submittedMillis);
    }

    /**
     * Returns the time after its submission within which a job is to be completed, in milliseconds.
     */
    long objectiveMillis(JobState job) {
        return objectiveMillis(job, criticalPathsMillis(job)[0]);
    }

    private static long objectiveMillis(JobState job, long criticalPathMillis) {
        return (long) (job.queue.stretch() * criticalPathMillis) + job.queue.targetMillis();
    }

    private long[] latestStartsMillis(JobState job, long dueMillis) {
        long[] millis = criticalPathsMillis(job);
        long end = dueMillis + objectiveMillis(job, millis[0]);
        for (int i = 0; i < millis.length; i++) {
            millis[i] = end - millis[i];
        }
        return millis;
    }

    /**
     * Returns for how long after its latest start a step is not treated as late.
     */
    long graceMillis(JobStepState step) {
        return step.spec.longRunning() ? Long.MAX_VALUE / 4 : 0;
    }

    /**
     * Returns the due time of an occurrence on the steady clock; without a schedule, that of the submission.
     */
    long dueMillis(OccurrenceState occurrence, Moment now) {
        JobState job = occurrence.job;
        if (!job.spec.schedule().timed()) {
            return job.submittedMillis;
        }
        return now.steadyMillis() + job.spec.schedule().dueMillis(occurrence.number) - now.wallMillis();
    }

    /**
     * Returns the critical path in milliseconds from each step to the end; the first is that of the whole job.
     */
    private long[] criticalPathsMillis(JobState job) {
        int steps = job.spec.steps().size();
        long[] remaining = new long[steps];
        long longest = 0;
        long adviceMillis = job.queue
                .advice()
                .map(policy -> policy.durationMillis(ADVISED_WORKERS))
                .orElse(0L);
        for (int i = steps - 1; i >= 0; i--) {
            remaining[i] += adviceMillis
                    + runStatistics.expectedMillis(job, job.spec.steps().get(i));
            longest = Math.max(longest, remaining[i]);
            for (int earlier : job.spec.steps().get(i).after()) {
                remaining[earlier] = Math.max(remaining[earlier], remaining[i]);
            }
        }
        remaining[0] = longest;
        return remaining;
    }
}
