package org.trefoilpost.decision.plan;

import java.util.Locale;
import java.util.Optional;

/**
 * What a step of a plan does with its worker.
 */
public enum StepKind {
    /** Cordons, drains, stops, reboots, probes and uncordons the worker. */
    MAINTAIN,
    /** Cordons, drains and stops the worker, which stays out of service until it is released. */
    RETIRE,
    /** Reboots, probes and uncordons a worker that is out of service. */
    RELEASE,
    /** Puts a worker that has no pool yet into its first pool. */
    ASSIGN,
    /** Drains the worker and moves it to another pool for good. */
    MOVE,
    /** Drains the worker and lends it to another pool. */
    LOAN,
    /** Drains the worker and gives it back to the pool that lent it. */
    RETURN;

    /**
     * Finds the kind with a code.
     *
     * @param code  the code, such as {@code maintain}, not null
     * @return the kind, not null, empty if none has the code
     */
    public static Optional<StepKind> ofCode(String code) {
        for (StepKind kind : values()) {
            if (kind.code().equals(code)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the code of this kind in documents.
     *
     * @return the code, not null
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns whether the step shifts its worker to another pool.
     *
     * @return true if it does
     */
    public boolean shifts() {
        return this == MOVE || this == LOAN || this == RETURN;
    }
}
