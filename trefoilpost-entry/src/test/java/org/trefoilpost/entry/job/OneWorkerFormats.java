package org.trefoilpost.entry.job;

import java.util.List;
import java.util.Optional;
import org.trefoilpost.decision.job.RegisteredWorker;
import org.trefoilpost.decision.job.ResourceAmount;
import org.trefoilpost.decision.job.WorkerAddress;

/**
 * Formats in which each item of the registry names the same worker.
 */
final class OneWorkerFormats extends UnusedFormats {
    private final String pool;

    /**
     * Constructs formats.
     *
     * @param pool  the pool of the worker, not null
     */
    OneWorkerFormats(String pool) {
        this.pool = pool;
    }

    @Override
    public Optional<RegisteredWorker> worker(StorePort.Item item) {
        ResourceAmount capacity = new ResourceAmount(16_000, 16_000, 0);
        return Optional.of(new RegisteredWorker(
                "w", "m", pool, WorkerAddress.of("127.0.0.1", 1), "hall", List.of(), capacity, false));
    }
}
