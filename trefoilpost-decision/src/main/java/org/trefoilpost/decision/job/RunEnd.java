package org.trefoilpost.decision.job;

/**
 * How a run of a task ended.
 */
public enum RunEnd {
    /** The task has completed. */
    DONE,
    /** The task or its worker failed. */
    FAILED,
    /** The run was stopped by an order. */
    STOPPED,
    /** The worker's lease expired. */
    LAPSED,
    /** Another member of the gang ended. */
    BROKEN,
    /** The other members of the gang did not start in time. */
    ALONE
}
