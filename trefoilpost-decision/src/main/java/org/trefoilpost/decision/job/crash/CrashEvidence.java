package org.trefoilpost.decision.job.crash;

/**
 * What is known of a run that ended with the crash of its worker. Runs of the same job count as one, because a job is given
 * up as a whole.
 *
 * @param confirmed  true if the worker has answered the start or listed the run
 * @param recent  true if the run had only just started when the worker last answered
 * @param soon  true if the worker crashed soon after the start, as calls without an answer show
 * @param onlyRecent  true if no run of another job on the worker was recent or unconfirmed
 * @param alone  true if each run of another job on the worker, if any, had survived its start
 */
public record CrashEvidence(boolean confirmed, boolean recent, boolean soon, boolean onlyRecent, boolean alone) {
    /** Age up to which a run is recent, and time after a start that is soon, in milliseconds. */
    public static final long RECENT_MILLIS = 300;

    /** The evidence of a crash that may have any cause. */
    public static final CrashEvidence NONE = new CrashEvidence(false, false, false, false, false);

    /** Age from which a run has survived its start, so that a crash of its worker is not attributed to it, in milliseconds. */
    public static final long SURVIVAL_MILLIS = 1_500;

    /**
     * Obtains the evidence of a run that only the store names: a former owner started it, and its worker has not reported
     * since.
     *
     * @param alone  true if the store names no run of another job on the worker
     * @return the evidence, not null
     */
    public static CrashEvidence ofStoredRun(boolean alone) {
        return new CrashEvidence(false, false, false, false, alone);
    }

    /**
     * Returns whether the crash is attributed to the run's job: it followed the start, and no other job can have caused it by
     * a start.
     *
     * @return true if the crash is attributed to the job
     */
    public boolean isAttributed() {
        return confirmed && soon && onlyRecent;
    }
}
