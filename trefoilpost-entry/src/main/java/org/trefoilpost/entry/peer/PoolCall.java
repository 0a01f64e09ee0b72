package org.trefoilpost.entry.peer;

import java.util.Objects;

/**
 * Sends an encoded request to the owner of a pool. With an empty pool name it only probes whether the peer is alive.
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
     * Creates the message.
     *
     * @param callId  the identifier of the call, unique among the calls on a connection
     * @param pool  the name of the pool, empty for a liveness probe, not null
     * @param request  the encoded request, copied, not null
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
     * Returns the name of the pool.
     *
     * @return the name, empty for a liveness probe, not null
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
     * Returns the type of the message and its short values, for logs and tests.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "PoolCall(" + callId + ", " + pool + ", " + request.length + " bytes)";
    }
}
