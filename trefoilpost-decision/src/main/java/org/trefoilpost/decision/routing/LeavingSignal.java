package org.trefoilpost.decision.routing;

/**
 * Who says that a worker takes no new work.
 */
public enum LeavingSignal {
    /** The platform's list of instances. */
    INSTANCE_LIST,
    /** An operator's cordon or a planned stop. */
    CORDON,
    /** The worker itself. */
    WORKER
}
