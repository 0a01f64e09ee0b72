package org.trefoilpost.decision.wave;

import java.util.Objects;

/**
 * Reports that an operator cancels the plan.
 */
public final class CancelRequested implements WaveEvent {
    private final String operator;

    private CancelRequested(String operator) {
        this.operator = Objects.requireNonNull(operator, "operator");
    }

    /**
     * Obtains the event.
     *
     * @param operator  the operator who cancels the plan, not null
     * @return the event, not null
     */
    public static CancelRequested of(String operator) {
        return new CancelRequested(operator);
    }

    /**
     * Returns the operator who cancels the plan.
     *
     * @return the operator, not null
     */
    public String operator() {
        return operator;
    }

    /**
     * Returns the type and the fields.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "CancelRequested" + " " + operator;
    }
}
