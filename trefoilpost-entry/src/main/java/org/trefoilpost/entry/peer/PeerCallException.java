package org.trefoilpost.entry.peer;

/**
 * A call to a peer that brought no reply.
 */
public final class PeerCallException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final boolean possiblySent;

    /**
     * Constructs a failure.
     *
     * @param message  what failed, not null
     * @param sent  true if the peer may have received the call
     */
    public PeerCallException(String message, boolean sent) {
        super(message);
        this.possiblySent = sent;
    }

    /**
     * Returns whether the peer may have received the call.
     *
     * @return false if the peer certainly did not and will not receive the call
     */
    public boolean possiblySent() {
        return possiblySent;
    }
}
