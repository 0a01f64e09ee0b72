package org.trefoilpost.decision.job.crash;

/**
 * The crashes of workers under the runs of a task. Immutable.
 *
 * @param crashes  the number of workers that crashed under the task
 * @param attributed  how many of these crashes are attributed to the task's job
 * @param alone  in how many of them no other job's task had started on the worker a short time before
 * @param suspected  true if one of them followed a start of the task so soon that the task may have caused it
 */
public record CrashRecord(int crashes, int attributed, int alone, boolean suspected) {
    /** The record of a task under which no worker has crashed. */
    public static final CrashRecord NONE = new CrashRecord(0, 0, 0, false);

    private static final int ALONE_FROM_CRASHES = 2;

    /** The attributed crashes that prove the fault of a task. */
    private static final int ATTRIBUTED_UNTIL_PROVED = 2;

    /** The crashes that prove the fault of a task that was alone in some of them: it crashes its workers late, or at once. */
    private static final int CRASHES_UNTIL_PROVED = 4;

    /** The crashes in which such a task must have been alone. */
    private static final int ALONE_UNTIL_PROVED = 2;

    /** Crashes after which a task is given up without further evidence. */
    private static final int MAX_CRASHES = 5;

    /**
     * Returns the record with one more crash.
     *
     * @param evidence  what is known of the run, not null
     * @return the new record, not null
     */
    public CrashRecord withCrash(CrashEvidence evidence) {
        return new CrashRecord(
                crashes + 1,
                attributed + (evidence.isAttributed() ? 1 : 0),
                alone + (evidence.alone() ? 1 : 0),
                suspected || evidence.recent());
    }

    /**
     * Returns how far the task is kept apart from others.
     *
     * @return the isolation, not null
     */
    public Isolation isolation() {
        if (crashes >= ALONE_FROM_CRASHES) {
            return Isolation.ALONE;
        }
        return suspected ? Isolation.SEPARATE : Isolation.NONE;
    }

    /**
     * Returns whether the task is proved to crash its workers, so that its job is given up.
     *
     * @return true if it is proved
     */
    public boolean provesFault() {
        return attributed >= ATTRIBUTED_UNTIL_PROVED
                || crashes >= CRASHES_UNTIL_PROVED && alone >= ALONE_UNTIL_PROVED
                || crashes >= MAX_CRASHES;
    }
}
