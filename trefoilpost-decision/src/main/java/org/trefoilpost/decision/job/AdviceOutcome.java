package org.trefoilpost.decision.job;

/**
 * How a request for placement advice ended.
 */
public enum AdviceOutcome {
    /** The service has answered. */
    ANSWERED("answered"),
    /** There was no answer in the time allowed; the service may still work on the request. */
    UNANSWERED("unanswered"),
    /** The service refused the request because too many were waiting. */
    OVERLOADED("overloaded"),
    /** The request failed otherwise, for example as the connection broke. */
    FAILED("failed");

    private final String text;

    AdviceOutcome(String text) {
        this.text = text;
    }

    /**
     * Returns the stable name of the outcome, for the log and the metrics.
     *
     * @return the name, not null
     */
    public String text() {
        return text;
    }
}
