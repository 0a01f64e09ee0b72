package org.trefoilpost.entry.target;

/**
 * Reasons why an exchange with a target received no complete response, and whether the target may have run the request.
 */
public enum TargetFailure {
    /** No connection could be opened, so nothing was sent. */
    NOT_CONNECTED(false),
    /** All connections that this entry may open to the target are in use, so nothing was sent. */
    NO_FREE_CONNECTION(false),
    /** The target reported that it did not start the request. */
    NOT_STARTED(false),
    /** The target reported that it did not start the request because it is leaving. */
    LEAVING(false),
    /** The connection failed after sending began and before a response was received. */
    CONNECTION_LOST(true),
    /** The response was truncated, or has neither a length nor chunks that mark its end. */
    ANSWER_INCOMPLETE(true),
    /** The response carried the identifier of another exchange. */
    FOREIGN_ANSWER(true),
    /** The deadline passed before the complete response was received. */
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
