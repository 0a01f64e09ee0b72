package org.trefoilpost.entry.target;

import java.util.concurrent.CompletableFuture;
import org.trefoilpost.model.Endpoint;

/**
 * Queries the status of workers, and orders them to stop, reboot and checkpoint tasks. Every call is idempotent.
 *
 * <p>Every future fails with a {@link TargetException}.
 */
public interface WorkerControl {
    /**
     * Queries a worker's status.
     *
     * @param worker  the worker's endpoint, not null
     * @return the future status, not null
     */
    CompletableFuture<WorkerStatusReport> status(Endpoint worker);

    /**
     * Orders a worker to stop gracefully.
     *
     * @param worker  the worker's endpoint, not null
     * @param incarnation  the incarnation to stop
     * @return the future result, true if the worker accepted the order, false if it has another incarnation, not null
     */
    CompletableFuture<Boolean> stop(Endpoint worker, long incarnation);

    /**
     * Orders a stopped worker to reboot.
     *
     * @param worker  the worker's endpoint, not null
     * @param incarnation  the incarnation to reboot
     * @return the future result, true if the worker accepted the order, false if it has not stopped or has another
     *     incarnation, not null
     */
    CompletableFuture<Boolean> reboot(Endpoint worker, long incarnation);

    /**
     * Orders a worker to checkpoint a task and end it.
     *
     * @param worker  the worker's endpoint, not null
     * @param job  the identifier of the task's job, not null
     * @param epoch  the epoch of the task's lease
     * @return the future checkpoint as the worker encodes it, not null
     */
    CompletableFuture<String> checkpoint(Endpoint worker, String job, long epoch);
}
