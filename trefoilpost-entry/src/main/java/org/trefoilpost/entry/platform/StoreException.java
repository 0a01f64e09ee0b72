package org.trefoilpost.entry.platform;

/**
 * A call to the key-value service that failed.
 */
public final class StoreException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final boolean mayHaveTakenEffect;

    private StoreException(String message, boolean mayHaveTakenEffect, Throwable cause) {
        super(message, cause);
        this.mayHaveTakenEffect = mayHaveTakenEffect;
    }

    /**
     * Obtains the failure of a call that the service refused, so that it had no effect.
     *
     * @param message  the message, not null
     * @return the failure, not null
     */
    public static StoreException refused(String message) {
        return new StoreException(message, false, null);
    }

    /**
     * Obtains the failure of a call whose answer was lost, so that it may have taken effect.
     *
     * @param message  the message, not null
     * @param cause  the cause, null if there is none
     * @return the failure, not null
     */
    public static StoreException answerLost(String message, Throwable cause) {
        return new StoreException(message, true, cause);
    }

    /**
     * Returns whether the call may have taken effect.
     *
     * @return false if the service certainly did not carry out the call
     */
    public boolean mayHaveTakenEffect() {
        return mayHaveTakenEffect;
    }
}
