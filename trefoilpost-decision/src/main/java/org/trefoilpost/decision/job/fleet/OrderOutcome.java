package org.trefoilpost.decision.job.fleet;

/**
 * The outcome of an order for a machine.
 */
public enum OrderOutcome {
    /** The platform carried out the order, or had already done so. */
    DONE,
    /** The platform has seen a higher fencing token from another entry. */
    FENCED,
    /** The machine cannot carry out the order at present. */
    BUSY,
    /** The order is not valid for the machine. */
    REJECTED,
    /** The platform refused the order and did nothing. */
    REFUSED,
    /** No answer arrived; the order may have been carried out, or may still be. */
    UNKNOWN
}
