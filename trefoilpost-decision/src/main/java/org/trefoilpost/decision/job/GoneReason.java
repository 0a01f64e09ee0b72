package org.trefoilpost.decision.job;

/**
 * Why a worker is taken not to start again under its identifier.
 */
public enum GoneReason {
    /** Another worker answers at its address. */
    OTHER_LIFE("other-life"),
    /** A worker that was born later is registered on its machine. */
    REPLACED("replaced"),
    /** The registry has ceased to list it, which counts as its end though it is no proof. */
    NOT_REGISTERED("not-registered");

    private final String text;

    GoneReason(String text) {
        this.text = text;
    }

    /**
     * Returns the reason as it is logged.
     *
     * @return the stable text, not null
     */
    public String text() {
        return text;
    }
}
