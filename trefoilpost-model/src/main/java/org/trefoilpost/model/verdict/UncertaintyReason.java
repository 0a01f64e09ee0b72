package org.trefoilpost.model.verdict;

/**
 * The reason why it is unknown whether a request ran.
 *
 * <p>Each reason has a stable code, which is also the value of the {@code reason} tag of the verdict counter, and the
 * HTTP status of the answer.
 */
public enum UncertaintyReason {
    /** The connection to the target was lost after the request was sent. */
    CONNECTION_LOST("connection-lost", 502),
    /** The target's answer ended before it was complete. */
    ANSWER_INCOMPLETE("answer-incomplete", 502),
    /** The deadline passed after the request was sent. */
    DEADLINE_PASSED("deadline-passed", 504),
    /** An earlier request claimed the idempotency key, and its outcome is unknown. */
    CLAIMED_EARLIER("claimed-earlier", 409),
    /** The owner of the idempotency key's shard became unreachable after the request was forwarded to it. */
    OWNER_LOST("owner-lost", 502);

    private final String code;
    private final int status;

    UncertaintyReason(String code, int status) {
        this.code = code;
        this.status = status;
    }

    /**
     * Returns the stable code of this reason.
     *
     * @return the code in lower case with hyphens, not null
     */
    public String code() {
        return code;
    }

    /**
     * Returns the HTTP status of an answer with this reason.
     *
     * @return the status, from 400 to 599
     */
    public int status() {
        return status;
    }
}
