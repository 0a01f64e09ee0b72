package org.trefoilpost.entry.peer;

import java.util.Objects;

/**
 * Asks something of the owner of a pool. A call without a pool only asks whether the other end lives.
 */
public final class PoolCall implements PeerCall {
    private final long callId;
    private final String pool;
    private final byte[] request;

    private PoolCall(long callId, String pool, byte[] request) {
        this.callId = callId;
        this.pool = pool;
        this.request = request;
    }

    /**
     * Obtains a message.
     *
     * @param callId  the number of the call
     * @param pool  the pool, without text to ask whether the other end lives, not null
     * @param request  the encoded request, not null
     * @return the message, not null
     */
    public static PoolCall of(long callId, String pool, byte[] request) {
        return new PoolCall(callId, Objects.requireNonNull(pool, "pool"), request.clone());
    }

    @Override
    public long callId() {
        return callId;
    }

    /**
     * Returns the pool.
     *
     * @return the pool, without text if the call only asks whether this end lives, not null
     */
    public String pool() {
        return pool;
    }

    /**
     * Returns the encoded request.
     *
     * @return a copy of the bytes, not null
     */
    public byte[] request() {
        return request.clone();
    }

    /**
     * Returns the kind of the message with its values.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "PoolCall(" + callId + ", " + pool + ", " + request.length + " bytes)";
    }
}
