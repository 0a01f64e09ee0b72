package org.trefoilpost.entry.peer;

/**
 * Thrown when a frame can't be decoded to a message.
 */
public final class MalformedFrameException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Constructs an exception.
     *
     * @param message  what is wrong, not null
     * @param cause  the cause, null if there is none
     */
    public MalformedFrameException(String message, Throwable cause) {
        super(message, cause);
    }
}
