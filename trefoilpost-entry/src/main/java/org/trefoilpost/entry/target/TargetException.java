package org.trefoilpost.entry.target;

/**
 * An exchange with a target that brought no answer.
 */
public final class TargetException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final TargetFailure failure;

    private TargetException(TargetFailure failure, String message, Throwable cause) {
        super(message, cause);
        this.failure = failure;
    }

    /**
     * Obtains a failure.
     *
     * @param failure  what failed, not null
     * @param message  the message, not null
     * @param cause  the cause, null if there is none
     * @return the failure, not null
     */
    public static TargetException of(TargetFailure failure, String message, Throwable cause) {
        return new TargetException(failure, message, cause);
    }

    /**
     * Returns what failed.
     *
     * @return the failure, not null
     */
    public TargetFailure failure() {
        return failure;
    }
}
