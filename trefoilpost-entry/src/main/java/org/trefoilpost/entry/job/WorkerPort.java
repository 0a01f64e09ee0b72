package org.trefoilpost.entry.job;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.trefoilpost.decision.job.OrderResult;
import org.trefoilpost.decision.job.WorkerOrder;
import org.trefoilpost.decision.job.WorkerRunStatus;

/**
 * Gives orders to workers.
 */
public interface WorkerPort {
    /**
     * Sends an order. The answer never fails: what went wrong is in its result.
     *
     * @param order  the order, not null
     * @param fencingToken  the token of the pool's owner
     * @return the answer, not null
     */
    CompletableFuture<Answer> send(WorkerOrder order, long fencingToken);

    /**
     * Closes the connections to an address that is not used any more.
     *
     * @param address  the address as {@code host:port}, not null
     */
    void closeConnections(String address);

    /**
     * A worker's answer.
     *
     * @param result  the outcome, not null
     * @param status  what the worker says of itself, if the order was a hold that succeeded, not null
     */
    record Answer(OrderResult result, Optional<WorkerRunStatus> status) {}
}
