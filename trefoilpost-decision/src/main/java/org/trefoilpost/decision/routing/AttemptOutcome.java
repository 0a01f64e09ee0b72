package org.trefoilpost.decision.routing;

/**
 * The outcome of an attempt, as evidence of the state of its worker.
 */
public enum AttemptOutcome {
    /** The worker returned a complete answer that reports no failure of its own. */
    ANSWERED,
    /** The request was rejected before it started, by the worker or for lack of a connection. */
    REJECTED,
    /** The worker reported a failure of its own, could not be connected to, or left open whether the request ran. */
    FAILED,
    /** The attempt was cancelled or its deadline passed, which is no evidence about the worker. */
    ABANDONED
}
