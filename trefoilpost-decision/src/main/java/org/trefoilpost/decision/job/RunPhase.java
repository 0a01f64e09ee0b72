package org.trefoilpost.decision.job;

/**
 * The phase of a run, as known to the owner of the pool.
 */
enum RunPhase {
    /** The start was sent and is not answered yet. */
    STARTING,
    /** The start was not answered; it may have been carried out, or may still be. */
    UNCONFIRMED,
    /** The worker has confirmed the run. */
    RUNNING,
    /** A stop was decided, and the worker has not reported the end of the run yet. */
    STOPPING
}
