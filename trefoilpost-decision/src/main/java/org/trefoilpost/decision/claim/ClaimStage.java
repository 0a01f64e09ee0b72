package org.trefoilpost.decision.claim;

/**
 * What became of a claimed key, as this entry knows it.
 */
enum ClaimStage {
    /** The claim waits to be written. */
    PENDING,
    /** The claim is in a write that is not resolved. */
    WRITING,
    /** The claim may be in the journal, and this entry never sent its request. */
    UNSENT,
    /** A request was dispatched, and its outcome is open. */
    SENT,
    /** The answer is at hand. */
    ANSWERED,
    /** The request may have run, and there is no answer. */
    UNKNOWN;

    boolean isBeforeDispatch() {
        return this == PENDING || this == WRITING;
    }

    /** Returns whether the journal must keep the claim. */
    boolean mustStayInJournal() {
        return this == SENT || this == ANSWERED || this == UNKNOWN;
    }
}
