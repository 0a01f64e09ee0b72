package org.trefoilpost.decision.job;

/**
 * Works out until when a job can still meet its objective.
 */
final class Objectives {
    private static final long LASTING_START_MILLIS = 2_500;

    private final WorkerHealth health;

    Objectives(WorkerHealth health) {
        this.health = health;
    }

    /**
     * Returns the latest time at which a step can start for its job to meet its objective.
     */
    long latestStartMillis(StepState step, Moment now) {
        JobState job = step.occurrence.job;
        long dueMillis = dueMillis(step.occurrence, now);
        if (step.spec.longRunning()) {
            return dueMillis + LASTING_START_MILLIS;
        }
        return dueMillis + objectiveMillis(job) - chainMillis(job, step.number);
    }

    /**
     * Returns the latest time at which a step of a job that was just handed in can start for it to meet its objective.
     */
    long latestStartMillis(JobState job, int step) {
        return job.offeredMillis + objectiveMillis(job) - chainMillis(job, step);
    }

    private long objectiveMillis(JobState job) {
        return (long) (job.queue.stretch() * chainMillis(job, 0)) + job.queue.targetMillis();
    }

    /**
     * Returns how long after the objective a job is still worth something.
     */
    long graceMillis(StepState step) {
        return step.spec.longRunning() ? Long.MAX_VALUE / 4 : 0;
    }

    /**
     * Returns when an occurrence became due.
     */
    long dueMillis(OccurrenceState occurrence, Moment now) {
        JobState job = occurrence.job;
        if (!job.spec.schedule().timed()) {
            return job.offeredMillis;
        }
        return now.steadyMillis() + job.spec.schedule().dueMillis(occurrence.number) - now.wallMillis();
    }

    /**
     * Returns the time of the longest chain of steps from a step to the end.
     *
     * @param from  the step's number, 0 for the whole job
     */
    long chainMillis(JobState job, int from) {
        int steps = job.spec.steps().size();
        long[] rest = new long[steps];
        long longest = 0;
        for (int i = steps - 1; i >= from; i--) {
            rest[i] += health.expectedMillis(job, job.spec.steps().get(i));
            longest = Math.max(longest, rest[i]);
            for (int earlier : job.spec.steps().get(i).after()) {
                rest[earlier] = Math.max(rest[earlier], rest[i]);
            }
        }
        return from == 0 ? longest : rest[from];
    }
}
