package org.trefoilpost.decision.job;

import java.util.Optional;

/**
 * An order to a worker.
 */
public sealed interface WorkerOrder {
    /**
     * Returns the identifier of the worker incarnation that the order is addressed to.
     *
     * @return the worker's identifier, not null
     */
    String worker();

    /**
     * Returns the worker's address.
     *
     * @return the address, not null
     */
    WorkerAddress address();

    /**
     * Starts a run of a task.
     *
     * @param worker  the worker's identifier, not null
     * @param address  the worker's address, not null
     * @param incarnation  the incarnation on whose clock the lease ends, the only one that may receive the order unless it is unknown,
     *     not null
     * @param task  the task, not null
     * @param run  the number of the run
     * @param text  the payload of the job, not null
     * @param leaseUntilMillis  the end of the worker's lease on its own clock
     * @param checkpoint  the checkpoint to resume from, empty to start from the beginning, not null
     * @param ticket  the permission to run the step there, empty if none is needed, not null
     */
    record Start(
            String worker,
            WorkerAddress address,
            WorkerIncarnation incarnation,
            TaskId task,
            int run,
            String text,
            long leaseUntilMillis,
            Optional<String> checkpoint,
            Optional<String> ticket)
            implements WorkerOrder {}

    /**
     * Stops a run, or prevents one that has not started from starting.
     *
     * @param worker  the worker's identifier, not null
     * @param address  the worker's address, not null
     * @param task  the task's name, not null
     * @param run  the number of the run
     */
    record Stop(String worker, WorkerAddress address, String task, int run) implements WorkerOrder {}

    /**
     * Renews the worker's lease, acknowledges run ends, and asks for the worker's status.
     *
     * @param worker  the worker's identifier, not null
     * @param address  the worker's address, not null
     * @param incarnation  the incarnation whose clock and run ends the order names, the only one that may receive it unless it is
     *     unknown, not null
     * @param leaseUntilMillis  the end of the lease on the worker's clock, empty to leave it unchanged, not null
     * @param lastEnd  the number of the last run end that is stored, which acknowledges it and earlier ones
     * @param waitMillis  how long the worker may wait for a run end before it answers, in milliseconds
     */
    record Hold(
            String worker,
            WorkerAddress address,
            WorkerIncarnation incarnation,
            Optional<Long> leaseUntilMillis,
            long lastEnd,
            long waitMillis)
            implements WorkerOrder {
        /**
         * Returns an order that only asks for the worker's status, which any incarnation may answer.
         *
         * @param worker  the worker's identifier, not null
         * @param address  the worker's address, not null
         * @return the order, not null
         */
        public static Hold statusOnly(String worker, WorkerAddress address) {
            return new Hold(worker, address, WorkerIncarnation.UNKNOWN, Optional.empty(), 0, 0);
        }
    }

    /**
     * Limits the pace of a run.
     *
     * @param worker  the worker's identifier, not null
     * @param address  the worker's address, not null
     * @param task  the task, not null
     * @param run  the number of the run
     * @param percent  the share of full speed, 0 to 100
     */
    record Pace(String worker, WorkerAddress address, TaskId task, int run, int percent) implements WorkerOrder {}
}
