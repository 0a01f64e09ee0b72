package org.trefoilpost.decision.routing;

/**
 * How an attempt at a worker ended, as far as it tells of the worker.
 */
public enum AttemptOutcome {
    /** The worker gave a whole answer that is not a failure of its own. */
    ANSWERED,
    /** The worker rejected the request before it started. */
    REJECTED,
    /** The worker failed after the request may have started. */
    FAILED,
    /** The attempt was cancelled or its deadline passed, which tells nothing of the worker. */
    ABANDONED
}
