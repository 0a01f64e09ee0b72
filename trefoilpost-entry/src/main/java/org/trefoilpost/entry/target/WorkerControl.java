package org.trefoilpost.entry.target;

import java.util.concurrent.CompletableFuture;
import org.trefoilpost.model.Endpoint;

/**
 * Asks workers about themselves, and to stop and reboot. Every call is idempotent.
 *
 * <p>Every future fails with a {@link TargetException}.
 */
public interface WorkerControl {
    /**
     * Reads what a worker tells of itself.
     *
     * @param worker  the worker's endpoint, not null
     * @return the status, not null
     */
    CompletableFuture<WorkerStatusReport> status(Endpoint worker);

    /**
     * Asks a worker to stop gracefully.
     *
     * @param worker  the worker's endpoint, not null
     * @param incarnation  the incarnation that is to stop
     * @return true if the worker will stop, false if it has another incarnation, not null
     */
    CompletableFuture<Boolean> stop(Endpoint worker, long incarnation);

    /**
     * Asks a stopped worker to reboot.
     *
     * @param worker  the worker's endpoint, not null
     * @param incarnation  the incarnation that is to reboot
     * @return true if the worker reboots, false if it has not stopped or has another incarnation, not null
     */
    CompletableFuture<Boolean> reboot(Endpoint worker, long incarnation);

    /**
     * Asks a worker to save a task's progress and to end the task.
     *
     * @param worker  the worker's endpoint, not null
     * @param job  the job, not null
     * @param epoch  the epoch of the task's lease
     * @return the saved progress, not null
     */
    CompletableFuture<String> checkpoint(Endpoint worker, String job, long epoch);
}
