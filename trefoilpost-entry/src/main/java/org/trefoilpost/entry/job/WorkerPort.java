package org.trefoilpost.entry.job;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.trefoilpost.decision.job.OrderResult;
import org.trefoilpost.decision.job.WorkerAddress;
import org.trefoilpost.decision.job.WorkerOrder;
import org.trefoilpost.decision.job.WorkerRunStatus;

/**
 * Sends orders to workers.
 */
public interface WorkerPort {
    /**
     * Sends an order. The future does not fail; a failure is reported in the answer's result.
     *
     * @param order  the order, not null
     * @param fencingToken  the fencing token of the pool's owner
     * @return the answer, not null
     */
    CompletableFuture<Answer> send(WorkerOrder order, long fencingToken);

    /**
     * Closes the connections to the address of a worker that has left the registry.
     *
     * @param address  the address, not null
     */
    void closeConnections(WorkerAddress address);

    /**
     * A worker's answer to an order.
     *
     * @param result  the outcome, not null
     * @param status  the status that the worker reports if the order was a hold that succeeded, else empty, not null
     */
    record Answer(OrderResult result, Optional<WorkerRunStatus> status) {}
}
