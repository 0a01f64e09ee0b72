package org.trefoilpost.decision.job.team;

/**
 * The jobs that a team is entitled to submit: a token bucket that fills at the rate of the team's weight.
 *
 * <p>A resubmission takes a token only while the bucket is more than half full. Otherwise the retries of a burst would
 * take the tokens of the jobs that the team submits for the first time.
 */
public final class SubmissionRate {
    /** The submissions that the bucket holds, in seconds of the rate. */
    private static final double BURST_SECONDS = 2;

    private static final double MIN_BURST_JOBS = 5;
    /** Share of the bucket that resubmissions leave for first submissions. */
    private static final double RESUBMISSION_RESERVE = 0.5;

    private static final double MILLIS_PER_SECOND = 1_000;
    /** How far refusals move the named time ahead; callers are told no longer delay, and the bucket is full by then. */
    private static final double MAX_PROMISE_MILLIS = 8_000;
    /** Tolerance for rounding, in jobs. */
    private static final double ROUNDING = 1e-9;

    private double jobsPerSecond;
    private double capacity;
    private double tokens;
    private long filledMillis;
    private double promisedMillis = Long.MIN_VALUE / 2.0;

    /**
     * Constructs a full bucket.
     *
     * @param jobsPerSecond  the rate, greater than 0
     * @param nowMillis  the present time in milliseconds
     */
    public SubmissionRate(double jobsPerSecond, long nowMillis) {
        this.filledMillis = nowMillis;
        setJobsPerSecond(jobsPerSecond, nowMillis);
        this.tokens = capacity;
    }

    /**
     * Changes the rate, and keeps the tokens that fit the new capacity.
     *
     * @param newJobsPerSecond  the rate, greater than 0
     * @param nowMillis  the present time in milliseconds
     */
    public void setJobsPerSecond(double newJobsPerSecond, long nowMillis) {
        fill(nowMillis);
        jobsPerSecond = newJobsPerSecond;
        capacity = Math.max(MIN_BURST_JOBS, BURST_SECONDS * newJobsPerSecond);
        tokens = Math.min(capacity, tokens);
    }

    /**
     * Takes a token for a job.
     *
     * @param resubmission  true if the job was refused before
     * @param nowMillis  the present time in milliseconds
     * @return true if the job is within the rate
     */
    public boolean tryTake(boolean resubmission, long nowMillis) {
        fill(nowMillis);
        if (tokens + ROUNDING < 1 + reserve(resubmission)) {
            return false;
        }
        tokens = Math.max(0, tokens - 1);
        return true;
    }

    /**
     * Returns the time until a refused job may find a token. Each call names a later token than the call before, so that
     * the refused callers do not all return for the same one.
     *
     * @param nowMillis  the present time in milliseconds
     * @return the time in milliseconds, not negative
     */
    public long retryAfterMillis(long nowMillis) {
        fill(nowMillis);
        double missing = Math.max(0, 1 + reserve(true) - tokens);
        double millisPerJob = MILLIS_PER_SECOND / jobsPerSecond;
        double nextMillis = Math.min(promisedMillis + millisPerJob, nowMillis + MAX_PROMISE_MILLIS);
        promisedMillis = Math.max(nowMillis + missing * millisPerJob, nextMillis);
        return (long) Math.ceil(promisedMillis - nowMillis);
    }

    private double reserve(boolean resubmission) {
        return resubmission ? RESUBMISSION_RESERVE * capacity : 0;
    }

    private void fill(long nowMillis) {
        double filled = Math.max(0, nowMillis - filledMillis) / MILLIS_PER_SECOND * jobsPerSecond;
        tokens = Math.min(capacity, tokens + filled);
        filledMillis = Math.max(filledMillis, nowMillis);
    }
}
