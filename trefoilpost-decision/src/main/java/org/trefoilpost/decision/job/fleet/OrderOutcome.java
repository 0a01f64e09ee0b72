package org.trefoilpost.decision.job.fleet;

/**
 * The outcome of an order about a machine.
 */
public enum OrderOutcome {
    /** The order is carried out, or was before. */
    DONE,
    /** Another entry has given orders with a higher token. */
    FENCED,
    /** The machine cannot take the order now. */
    BUSY,
    /** The order does not fit the machine. */
    REJECTED,
    /** The order was refused and not carried out. */
    REFUSED,
    /** No answer came. */
    UNKNOWN
}
