package org.trefoilpost.entry.target;

/**
 * Thrown when an exchange with a target received no complete response.
 */
public final class TargetException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final TargetFailure failure;

    private TargetException(TargetFailure failure, String message, Throwable cause) {
        super(message, cause);
        this.failure = failure;
    }

    /**
     * Obtains an exception.
     *
     * @param failure  the reason of the failure, not null
     * @param message  the detail message, not null
     * @param cause  the cause, null if there is none
     * @return the exception, not null
     */
    public static TargetException of(TargetFailure failure, String message, Throwable cause) {
        return new TargetException(failure, message, cause);
    }

    /**
     * Returns the reason of the failure.
     *
     * @return the reason, not null
     */
    public TargetFailure failure() {
        return failure;
    }
}
