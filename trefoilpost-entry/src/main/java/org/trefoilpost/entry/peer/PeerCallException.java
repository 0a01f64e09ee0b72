package org.trefoilpost.entry.peer;

/**
 * Thrown when a call to a peer ends without a reply.
 */
public final class PeerCallException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final boolean possiblySent;

    /**
     * Constructs an exception.
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
     * @return false only if the peer has not received the call and never will
     */
    public boolean possiblySent() {
        return possiblySent;
    }
}
