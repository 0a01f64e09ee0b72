package org.trefoilpost.decision.job;

import java.util.List;

/**
 * The status that a worker reports.
 *
 * @param clockMillis  the worker's clock in milliseconds
 * @param running  the present runs, not null
 * @param ended  the run ends that are not acknowledged yet, the oldest first, not null
 * @param born  when this incarnation of the worker started, in milliseconds since 1970, 0 if the platform does not send it
 * @param complete  false if the worker may have further ends than those in the list, so that a run in neither list may
 *     have ended
 */
public record WorkerRunStatus(long clockMillis, List<Running> running, List<Ended> ended, long born, boolean complete) {
    /**
     * Constructs a status with copies of the lists.
     */
    public WorkerRunStatus {
        running = List.copyOf(running);
        ended = List.copyOf(ended);
    }

    /**
     * Constructs a complete status.
     *
     * @param clockMillis  the worker's clock in milliseconds
     * @param running  the present runs, not null
     * @param ended  the run ends that are not acknowledged yet, the oldest first, not null
     * @param born  when this incarnation of the worker started, in milliseconds since 1970, 0 if the platform does not
     *     send it
     */
    public WorkerRunStatus(long clockMillis, List<Running> running, List<Ended> ended, long born) {
        this(clockMillis, running, ended, born, true);
    }

    /**
     * Constructs a complete status on a platform that does not send when a worker started.
     *
     * @param clockMillis  the worker's clock in milliseconds
     * @param running  the present runs, not null
     * @param ended  the run ends that are not acknowledged yet, the oldest first, not null
     */
    public WorkerRunStatus(long clockMillis, List<Running> running, List<Ended> ended) {
        this(clockMillis, running, ended, WorkerIncarnation.UNKNOWN.born());
    }

    /**
     * Returns the incarnation of the worker that reported the status.
     *
     * @return the incarnation, unknown if the platform does not send it, not null
     */
    public WorkerIncarnation incarnation() {
        return new WorkerIncarnation(born);
    }

    /**
     * A present run.
     *
     * @param task  the task's name, not null
     * @param run  the number of the run
     * @param checkpoint  the latest checkpoint, empty if there is none, not null
     * @param percent  the progress, or the readiness of a long-running task, 0 to 100
     * @param load  the tail latency in milliseconds of a task that serves users, else the processor share in use
     */
    public record Running(String task, int run, String checkpoint, int percent, long load) {}

    /**
     * The end of a run.
     *
     * @param number  the sequence number of the end in this incarnation of the worker
     * @param task  the task's name, not null
     * @param run  the number of the run
     * @param how  how the run ended, not null
     * @param checkpoint  the last checkpoint, empty if there is none, not null
     */
    public record Ended(long number, String task, int run, RunEnd how, String checkpoint) {}
}
