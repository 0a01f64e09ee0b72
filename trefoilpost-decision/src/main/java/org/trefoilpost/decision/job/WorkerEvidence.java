package org.trefoilpost.decision.job;

import java.util.Optional;

/**
 * Tells which workers will not start again under their identifiers.
 */
@FunctionalInterface
public interface WorkerEvidence {
    /**
     * Returns from what it is known that a worker will not start again under its identifier.
     *
     * @param worker  the worker as last registered, with the start of its present incarnation, not null
     * @return the reason, empty if the worker may start again, not null
     */
    Optional<GoneReason> goneReason(RegisteredWorker worker);
}
