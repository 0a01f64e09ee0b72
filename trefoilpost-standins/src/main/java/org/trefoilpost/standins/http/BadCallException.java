package org.trefoilpost.standins.http;

/**
 * Signals a request that does not follow the contract and is answered with the status 400.
 */
public final class BadCallException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message  what is wrong with the request, not null
     */
    public BadCallException(String message) {
        super(message);
    }

    /**
     * Creates the exception with its cause.
     *
     * @param message  what is wrong with the request, not null
     * @param cause  the cause, not null
     */
    public BadCallException(String message, Throwable cause) {
        super(message, cause);
    }
}
