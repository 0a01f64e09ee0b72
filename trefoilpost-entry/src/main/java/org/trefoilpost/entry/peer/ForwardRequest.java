package org.trefoilpost.entry.peer;

import org.trefoilpost.entry.request.CallerRequest;

/**
 * Forwards a request with an idempotency key to the owner of the key's shard.
 */
public final class ForwardRequest implements PeerCall {
    private final long callId;
    private final long remainingMillis;
    private final CallerRequest request;

    private ForwardRequest(long callId, long remainingMillis, CallerRequest request) {
        this.callId = callId;
        this.remainingMillis = remainingMillis;
        this.request = request;
    }

    /**
     * Creates the message.
     *
     * @param callId  the identifier of the call, unique among the calls on a connection
     * @param remainingMillis  the time in milliseconds until the caller's deadline
     * @param request  the request, not null
     * @return the message, not null
     */
    public static ForwardRequest of(long callId, long remainingMillis, CallerRequest request) {
        return new ForwardRequest(callId, remainingMillis, request);
    }

    @Override
    public long callId() {
        return callId;
    }

    /**
     * Returns the time in milliseconds until the caller's deadline.
     *
     * @return the time in milliseconds until the caller's deadline
     */
    public long remainingMillis() {
        return remainingMillis;
    }

    /**
     * Returns the request.
     *
     * @return the request, not null
     */
    public CallerRequest request() {
        return request;
    }

    /**
     * Returns the type of the message and its short values, for logs and tests.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "ForwardRequest(" + callId + ", " + remainingMillis + ")";
    }
}
