package org.trefoilpost.decision.claim;

/**
 * The stage of a claim, as far as this entry knows it.
 */
enum ClaimStage {
    /** The claim waits to be written to the journal. */
    PENDING,
    /** The claim is part of a write whose outcome is not known. */
    WRITING,
    /** The claim may be in the journal, and this entry did not send its request. */
    UNSENT,
    /** The request was dispatched, and its outcome is not known yet. */
    SENT,
    /** The answer of the target is stored in memory. */
    ANSWERED,
    /** The request may have run, and its answer is not available. */
    UNKNOWN;

    boolean isBeforeDispatch() {
        return this == PENDING || this == WRITING;
    }

    /** Returns whether the journal must contain the claim, since its request may have run. */
    boolean mustStayInJournal() {
        return this == SENT || this == ANSWERED || this == UNKNOWN;
    }
}
