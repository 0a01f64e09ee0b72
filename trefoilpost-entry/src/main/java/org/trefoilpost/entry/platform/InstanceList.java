package org.trefoilpost.entry.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.trefoilpost.model.worker.Worker;

/**
 * The platform's lagging list of instances.
 */
@FunctionalInterface
public interface InstanceList {
    /**
     * Reads the list.
     *
     * @return the workers, not null; fails with a {@link StoreException}
     */
    CompletableFuture<List<Worker>> read();
}
