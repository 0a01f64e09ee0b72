package org.trefoilpost.decision.job;

import org.trefoilpost.decision.job.crash.CrashEvidence;

/**
 * A run of a task on a worker. A run keeps its resources reserved until its end is certain.
 */
final class Run {
    /** Time after which an order without an answer is no longer carried out. Delays of up to 12 s are known. */
    static final long MAX_ORDER_DELAY_MILLIS = 15_000;

    private static final int ABSENCES_UNTIL_LOST = 2;

    /** The progress of a run that is fully ready. */
    private static final int READY_PERCENT = 100;

    final JobTaskState task;
    final int number;
    final PoolWorker worker;
    RunPhase phase;
    long startedMillis;
    /** The age of the worker's last answer when the start was sent, -1 if it is not known. */
    long reportAgeMillis = -1;

    long confirmedMillis;
    long stopSentMillis = Long.MIN_VALUE / 2;
    boolean stopInFlight;
    boolean stopAnswered;
    long stopAnsweredMillis;
    /** True if a stop is in flight that the previous incarnation of the worker may answer. */
    boolean stopSentBeforeRestart;
    /** True if a status of the worker has listed the run. */
    boolean listed;
    /** The number of consecutive complete statuses that should have listed the run and did not. */
    int absences;
    /** True if the last status did not list the run and was not complete, so that the run may have ended. */
    boolean mayHaveEnded;

    String checkpoint = "";
    int percent;
    long progressMillis;
    /** The longest time between two changes of the percentage, in milliseconds. */
    long longestStepMillis;

    RunPace pace = RunPace.FULL;
    long load;
    boolean wanted = true;
    /** True if the job of the run is no longer known, and with it the resources of the run. */
    boolean sizeUnknown;
    /** True if an earlier owner of the pool started the run. */
    boolean adopted;
    /** How long the worker must have run this run before tasks of other jobs start there, in milliseconds. */
    long probationMillis;

    Run(JobTaskState task, int number, PoolWorker worker, RunPhase phase, long nowMillis) {
        this.task = task;
        this.number = number;
        this.worker = worker;
        this.phase = phase;
        this.startedMillis = nowMillis;
        this.confirmedMillis = nowMillis;
        this.progressMillis = nowMillis;
    }

    /**
     * Returns whether the run is starting or running, rather than unconfirmed or being stopped.
     */
    boolean isActive() {
        return phase == RunPhase.STARTING || phase == RunPhase.RUNNING;
    }

    /**
     * Returns whether the run is known to be fully ready.
     */
    boolean isReady() {
        return phase == RunPhase.RUNNING && percent >= READY_PERCENT;
    }

    /**
     * Records the progress that a status reports.
     */
    void recordProgress(int reportedPercent, long nowMillis) {
        if (reportedPercent != percent) {
            // The first change also shows how far a run of an earlier owner had come.
            longestStepMillis = adopted && percent == 0 ? 0 : Math.max(longestStepMillis, nowMillis - progressMillis);
            percent = reportedPercent;
            progressMillis = nowMillis;
        }
    }

    /**
     * Returns whether the start of the run is so old that it is no longer carried out.
     */
    boolean isOrderTooOld(long nowMillis) {
        return nowMillis >= startedMillis + MAX_ORDER_DELAY_MILLIS;
    }

    /**
     * Returns whether the start may have been, or may still be, carried out by an incarnation of the worker that begins
     * now. Not if a status has listed the run; the answer to a start does not say which incarnation gave it.
     */
    boolean mayStartAfterRestart() {
        return !listed;
    }

    /**
     * Returns the run as far as it is known on a new incarnation of its worker: unresolved.
     */
    Run afterRestart(PoolWorker newIncarnation) {
        RunPhase newPhase = phase == RunPhase.STARTING ? RunPhase.STARTING : RunPhase.UNCONFIRMED;
        Run run = new Run(task, number, newIncarnation, newPhase, startedMillis);
        run.reportAgeMillis = reportAgeMillis;
        run.checkpoint = checkpoint;
        run.wanted = wanted;
        run.sizeUnknown = sizeUnknown;
        run.stopInFlight = stopInFlight;
        run.stopSentBeforeRestart = stopInFlight;
        return run;
    }

    /**
     * Returns whether the run was stopped before its start was carried out, as a complete status does not list it.
     *
     * @param statusAskedMillis  when the status was asked for
     */
    boolean isStoppedBefore(long statusAskedMillis) {
        return stopAnswered && stopAnsweredMillis <= statusAskedMillis;
    }

    /**
     * Counts that a complete status does not list the run, and returns whether it is lost by that.
     *
     * @param statusAskedMillis  when the status was asked for
     */
    boolean isLostBefore(long statusAskedMillis) {
        boolean expected = phase == RunPhase.RUNNING && confirmedMillis < statusAskedMillis;
        absences += expected ? 1 : 0;
        return expected && absences >= ABSENCES_UNTIL_LOST;
    }

    JobState job() {
        return task.step.occurrence.job;
    }

    /**
     * Returns whether the worker is known to have started the run.
     */
    boolean isConfirmed() {
        return listed || phase == RunPhase.RUNNING || phase == RunPhase.STOPPING;
    }

    /**
     * Returns whether the worker may have started the run before it fell silent: it has confirmed that, or had answered shortly
     * before the start was sent. One that was idle and not asked may have ended long before.
     */
    boolean mayHaveStarted() {
        return isConfirmed() || startedMillis - worker.lastAnswerMillis <= PoolWorker.ANSWER_VALID_MILLIS;
    }

    /**
     * Returns the age that the run had when its worker last answered, in milliseconds.
     */
    long ageAtLastAnswerMillis() {
        return Math.max(0, worker.lastAnswerMillis - startedMillis);
    }

    /**
     * Returns whether the run had only just started when its worker last answered.
     */
    boolean isRecent() {
        return ageAtLastAnswerMillis() < CrashEvidence.RECENT_MILLIS;
    }

    /**
     * Returns whether the worker has run the run for so long that a crash is not attributed to it.
     */
    boolean hasSurvived() {
        return isConfirmed() && ageAtLastAnswerMillis() >= CrashEvidence.SURVIVAL_MILLIS;
    }

    /**
     * Returns whether tasks of other jobs may not start on the worker yet because of this run.
     */
    boolean isOnProbation() {
        return probationMillis > 0 && (!isConfirmed() || ageAtLastAnswerMillis() < probationMillis);
    }

    /**
     * Returns a decision about the run, for the log.
     *
     * @param decision  the decision without inputs
     */
    Decision describe(Decision decision) {
        return decision.with("job", task.id.job())
                .with("task", task.id.text())
                .with("run", number)
                .with("worker", worker.id);
    }

    ResourceAmount reserved() {
        return task.step.spec.reservedDemand();
    }
}
