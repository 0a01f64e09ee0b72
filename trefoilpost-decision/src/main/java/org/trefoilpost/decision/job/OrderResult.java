package org.trefoilpost.decision.job;

/**
 * The outcome of an order to a worker.
 */
public enum OrderResult {
    /** The worker carried the order out, or had done so before. */
    OK,
    /** The worker has seen a higher fencing token. */
    FENCED,
    /** The run is not newer than one that ended or was stopped on the worker. */
    OLD_RUN,
    /** The lease that the order named has passed on the worker's clock. */
    LEASE_PASSED,
    /** The worker has no room. */
    NO_ROOM,
    /** The worker does not accept the ticket. */
    BAD_TICKET,
    /** The worker refused the order and did nothing. */
    REFUSED,
    /** The address belongs to another life of the worker, so the life that the order meant has ended. */
    OTHER_LIFE,
    /** No answer came; the order may have been carried out or may be later. */
    NO_ANSWER
}
