package org.trefoilpost.decision.job;

/**
 * How the run of a task ended.
 */
public enum RunEnd {
    /** The task has done its work. */
    DONE,
    /** The task or its worker failed. */
    FAILED,
    /** The run was stopped by an order. */
    STOPPED,
    /** The worker's lease ran out. */
    LAPSED,
    /** Another member of the gang ended. */
    BROKEN,
    /** The other members of the gang did not come in time. */
    ALONE
}
