package org.trefoilpost.entry.job;

import java.util.concurrent.CompletableFuture;
import org.trefoilpost.decision.job.Decision;

/**
 * A request to the owner of a pool that has not been answered yet. Used on the service's thread only.
 */
final class PendingRequest {
    private static final String ANY_OWNER = "an owner";

    private final String pool;
    private final JobRequest request;
    private final CompletableFuture<JobReply> reply;
    private final long startMillis;
    private final long deadlineMillis;
    private String awaited = ANY_OWNER;
    private boolean mayHaveReachedOwner;
    private boolean callLost;

    /**
     * Constructs a request that waits for an owner.
     *
     * @param startMillis  when the request arrived, on the steady clock in milliseconds
     * @param deadlineMillis  when the wait for a reply ends, on the steady clock in milliseconds
     */
    PendingRequest(
            String pool, JobRequest request, CompletableFuture<JobReply> reply, long startMillis, long deadlineMillis) {
        this.pool = pool;
        this.request = request;
        this.reply = reply;
        this.startMillis = startMillis;
        this.deadlineMillis = deadlineMillis;
    }

    String pool() {
        return pool;
    }

    JobRequest request() {
        return request;
    }

    CompletableFuture<JobReply> reply() {
        return reply;
    }

    long startMillis() {
        return startMillis;
    }

    long deadlineMillis() {
        return deadlineMillis;
    }

    /**
     * Records that an owner has the request: this entry, or another one that has confirmed it.
     */
    void reachedOwner() {
        mayHaveReachedOwner = true;
    }

    /**
     * Records that the answer of an entry is awaited.
     */
    void passedTo(String entry) {
        awaited = entry;
    }

    /**
     * Records that no entry has the request at the moment.
     */
    void awaitOwner() {
        awaited = ANY_OWNER;
    }

    /**
     * Records that a call was sent and got no reply.
     */
    void callLost() {
        mayHaveReachedOwner = true;
        callLost = true;
    }

    boolean mayHaveReachedOwner() {
        return mayHaveReachedOwner;
    }

    /**
     * Returns whether the request may be carried out, or has been, as far as this entry knows.
     */
    boolean mayHaveRun() {
        return mayHaveReachedOwner || !awaited.equals(ANY_OWNER);
    }

    boolean isCallLost() {
        return callLost;
    }

    /**
     * Describes the request and what it waits for, for the log.
     */
    Decision describe(String event, long nowMillis) {
        Decision decision = Decision.failure(event)
                .with("kind", request.getClass().getSimpleName())
                .with("pool", pool)
                .with("awaited", awaited)
                .with("mayHaveReachedOwner", mayHaveReachedOwner)
                .with("waitedMillis", nowMillis - startMillis)
                .with("remainingMillis", deadlineMillis - nowMillis);
        return request instanceof JobRequest.AboutJob about ? decision.with("job", about.job()) : decision;
    }
}
