package org.trefoilpost.decision.job;

import java.util.Objects;

/**
 * A worker that the registry has ceased to list.
 *
 * @param registration  the worker as last listed, not null
 * @param sinceMillis  since when at the latest the registry has not listed it, on the steady clock in milliseconds
 */
public record DelistedWorker(RegisteredWorker registration, long sinceMillis) {
    /**
     * Constructs a worker.
     */
    public DelistedWorker {
        Objects.requireNonNull(registration, "registration");
    }
}
