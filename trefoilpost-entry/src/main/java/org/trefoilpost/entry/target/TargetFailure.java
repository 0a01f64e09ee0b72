package org.trefoilpost.entry.target;

/**
 * Why an exchange with a target brought no answer, and whether the target may have run the request.
 */
public enum TargetFailure {
    /** No connection could be made, so that nothing was sent. */
    NOT_CONNECTED(false),
    /** Every connection that this entry may hold to the target is in use, so that nothing was sent. */
    NO_FREE_CONNECTION(false),
    /** The target said that it did not start the request. */
    NOT_STARTED(false),
    /** The target said that it did not start the request because it is leaving. */
    LEAVING(false),
    /** The connection broke after the request was sent and before an answer began. */
    CONNECTION_LOST(true),
    /** The answer broke off before it was complete. */
    ANSWER_INCOMPLETE(true),
    /** The answer carried another exchange's identifier. */
    FOREIGN_ANSWER(true),
    /** The time was over before the whole answer came. */
    TIMEOUT(true);

    private final boolean mayHaveRun;

    TargetFailure(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /**
     * Returns whether the target may have run the request.
     *
     * @return false if the target certainly did not and will not run the request
     */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }
}
