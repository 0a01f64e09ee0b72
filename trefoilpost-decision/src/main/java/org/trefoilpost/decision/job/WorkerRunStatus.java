package org.trefoilpost.decision.job;

import java.util.List;

/**
 * What a worker says of itself.
 *
 * @param clockMillis  the worker's clock in milliseconds
 * @param running  the runs under way, not null
 * @param ended  the ends that are not acknowledged yet, the oldest first, not null
 */
public record WorkerRunStatus(long clockMillis, List<Running> running, List<Ended> ended) {
    /**
     * Constructs a status.
     */
    public WorkerRunStatus {
        running = List.copyOf(running);
        ended = List.copyOf(ended);
    }

    /**
     * A run under way.
     *
     * @param task  the task's name, not null
     * @param run  the number of the run
     * @param checkpoint  the newest saved progress, without text if there is none, not null
     * @param percent  the progress, or for a task that lasts its readiness, 0 to 100
     * @param load  the tail of the response times in milliseconds for a task that serves, else the processor share in use
     */
    public record Running(String task, int run, String checkpoint, int percent, long load) {}

    /**
     * The end of a run.
     *
     * @param number  the number of the end in this life of the worker
     * @param task  the task's name, not null
     * @param run  the number of the run
     * @param how  how the run ended, not null
     * @param checkpoint  the saved progress, without text if there is none, not null
     */
    public record Ended(long number, String task, int run, RunEnd how, String checkpoint) {}
}
