package org.trefoilpost.model.verdict;

/**
 * The reason why a request was refused without having run.
 *
 * <p>Each reason has a stable code, which is also the value of the {@code reason} tag of the verdict counter, and the
 * HTTP status of the answer.
 */
public enum RefusalReason {
    /** The pool is not in the configuration in force. */
    UNKNOWN_POOL("unknown-pool", 404),
    /** The request's headers or path are malformed. */
    MALFORMED("malformed", 400),
    /** The request's body is larger than its pool allows. */
    BODY_TOO_LARGE("body-too-large", 413),
    /** The request's deadline had passed when the request arrived. */
    DEADLINE_PAST("deadline-past", 504),
    /** The request cannot be served before its deadline. */
    DEADLINE_UNREACHABLE("deadline-unreachable", 503),
    /** The pool's queue is full. */
    QUEUE_FULL("queue-full", 503),
    /** The team has used up its quota. */
    QUOTA_EXCEEDED("quota-exceeded", 429),
    /** The pool has no worker that takes new work. */
    NO_WORKER("no-worker", 503),
    /** Every attempt was rejected by a worker before it started. */
    WORKERS_REJECTED("workers-rejected", 503),
    /** The pool's retry budget is exhausted. */
    RETRY_BUDGET_SPENT("retry-budget-spent", 503),
    /** The idempotency key is older than the retention time of keys. */
    KEY_EXPIRED("key-expired", 409),
    /** The idempotency key was used before with another request. */
    KEY_REUSED("key-reused", 422),
    /** The claim of the idempotency key could not be recorded. */
    CLAIM_UNAVAILABLE("claim-unavailable", 503),
    /** The owner of the idempotency key's shard could not be reached. */
    OWNER_UNREACHABLE("owner-unreachable", 503),
    /** The bounded event queue of one of the entry's threads is full. */
    RING_FULL("ring-full", 503),
    /** The entry has no configuration yet. */
    NOT_READY("not-ready", 503),
    /** The entry is shutting down. */
    SHUTTING_DOWN("shutting-down", 503);

    private final String code;
    private final int status;

    RefusalReason(String code, int status) {
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
