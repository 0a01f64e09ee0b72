package org.trefoilpost.decision.job;

/**
 * The outcome of an order sent to a worker.
 */
public enum OrderResult {
    /** The worker carried out the order, or had already done so. */
    OK,
    /** The worker has seen a higher fencing token. */
    FENCED,
    /** The worker has seen a higher fencing token, and the owner has renewed its claim since it sent the order. */
    OLD_TOKEN,
    /** The run is not newer than one that ended or was stopped on the worker. */
    OLD_RUN,
    /** The lease that the order named has expired on the worker's clock. */
    LEASE_PASSED,
    /** The worker has too little free capacity. */
    NO_ROOM,
    /** The worker does not accept the ticket. */
    BAD_TICKET,
    /** The worker refused the order and did nothing. */
    REFUSED,
    /** The address belongs to another incarnation of the worker, so the incarnation addressed has ended. */
    OTHER_LIFE,
    /** The worker has restarted under its identifier. The order was meant for an earlier incarnation and was not sent. */
    OTHER_INCARNATION,
    /** No answer arrived; the order may have been carried out, or may still be. */
    NO_ANSWER
}
