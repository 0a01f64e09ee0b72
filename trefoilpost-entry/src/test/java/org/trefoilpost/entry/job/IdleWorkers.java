package org.trefoilpost.entry.job;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.trefoilpost.decision.job.OrderResult;
import org.trefoilpost.decision.job.WorkerAddress;
import org.trefoilpost.decision.job.WorkerOrder;
import org.trefoilpost.decision.job.WorkerRunStatus;

/**
 * Workers that accept all orders, have no runs and carry out nothing.
 */
class IdleWorkers implements WorkerPort {
    @Override
    public CompletableFuture<Answer> send(WorkerOrder order, long fencingToken) {
        Optional<WorkerRunStatus> status = order instanceof WorkerOrder.Hold
                ? Optional.of(new WorkerRunStatus(System.nanoTime() / 1_000_000, List.of(), List.of()))
                : Optional.empty();
        return CompletableFuture.completedFuture(new Answer(OrderResult.OK, status));
    }

    @Override
    public void closeConnections(WorkerAddress address) {
        // No connections are kept.
    }
}
