package org.trefoilpost.entry.peer;

/**
 * Answers a {@link PoolCall}.
 */
public final class PoolAnswer implements PeerReply {
    private final long callId;
    private final boolean isOwner;
    private final byte[] reply;

    private PoolAnswer(long callId, boolean owner, byte[] reply) {
        this.callId = callId;
        this.isOwner = owner;
        this.reply = reply;
    }

    /**
     * Creates the message.
     *
     * @param callId  the identifier of the call, unique among the calls on a connection
     * @param owner  true if the answering entry owns the pool
     * @param reply  the encoded reply, empty unless the entry owns the pool, copied, not null
     * @return the message, not null
     */
    public static PoolAnswer of(long callId, boolean owner, byte[] reply) {
        return new PoolAnswer(callId, owner, reply.clone());
    }

    @Override
    public long callId() {
        return callId;
    }

    /**
     * Returns whether the answering entry owns the pool.
     *
     * @return false if the entry ignored the request because it does not own the pool
     */
    public boolean isOwner() {
        return isOwner;
    }

    /**
     * Returns the encoded reply.
     *
     * @return a copy of the bytes, not null
     */
    public byte[] reply() {
        return reply.clone();
    }

    /**
     * Returns the type of the message and its short values, for logs and tests.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "PoolAnswer(" + callId + ", " + isOwner + ", " + reply.length + " bytes)";
    }
}
