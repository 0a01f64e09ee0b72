package org.trefoilpost.decision.job;

/**
 * Works out until when a job can still meet its objective.
 */
final class StartDeadlines {
    private static final long LONG_RUNNING_START_MILLIS = 2_500;

    private final RunStatistics runStatistics;

    StartDeadlines(RunStatistics health) {
        this.runStatistics = health;
    }

    /**
     * Returns the latest time at which a step can start for its job to meet its objective.
     */
    long latestStartMillis(JobStepState step, Moment now) {
        return step.spec.longRunning()
                ? dueMillis(step.occurrence, now) + LONG_RUNNING_START_MILLIS
                : latestStartsMillis(step.occurrence, now)[step.number];
    }

    /**
     * Returns the latest times at which the steps of an occurrence that do not last can start.
     */
    long[] latestStartsMillis(OccurrenceState occurrence, Moment now) {
        return latestStartsMillis(occurrence.job, dueMillis(occurrence, now));
    }

    /**
     * Returns the latest times at which the steps of a job without a schedule can start.
     */
    long[] latestStartsMillis(JobState job) {
        return latestStartsMillis(job, job.submittedMillis);
    }

    private long[] latestStartsMillis(JobState job, long dueMillis) {
        long[] latest = criticalPathsMillis(job);
        long end = dueMillis + (long) (job.queue.stretch() * latest[0]) + job.queue.targetMillis();
        for (int i = 0; i < latest.length; i++) {
            latest[i] = end - latest[i];
        }
        return latest;
    }

    /**
     * Returns how long after the objective a job is still worth something.
     */
    long graceMillis(JobStepState step) {
        return step.spec.longRunning() ? Long.MAX_VALUE / 4 : 0;
    }

    /**
     * Returns when an occurrence became due.
     */
    long dueMillis(OccurrenceState occurrence, Moment now) {
        JobState job = occurrence.job;
        if (!job.spec.schedule().timed()) {
            return job.submittedMillis;
        }
        return now.steadyMillis() + job.spec.schedule().dueMillis(occurrence.number) - now.wallMillis();
    }

    /**
     * Returns the times of the longest chains of steps from each step to the end; the first is that of the whole job.
     */
    private long[] criticalPathsMillis(JobState job) {
        int steps = job.spec.steps().size();
        long[] rest = new long[steps];
        long longest = 0;
        for (int i = steps - 1; i >= 0; i--) {
            rest[i] += runStatistics.expectedMillis(job, job.spec.steps().get(i));
            longest = Math.max(longest, rest[i]);
            for (int earlier : job.spec.steps().get(i).after()) {
                rest[earlier] = Math.max(rest[earlier], rest[i]);
            }
        }
        rest[0] = longest;
        return rest;
    }
}
