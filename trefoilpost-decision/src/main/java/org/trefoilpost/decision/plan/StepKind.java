package org.trefoilpost.decision.plan;

import java.util.Locale;
import java.util.Optional;

/**
 * The operation that a step of a plan performs on its worker.
 */
public enum StepKind {
    /** Cordons, drains, stops, reboots, probes and uncordons the worker. */
    MAINTAIN,
    /** Cordons, drains and stops the worker, which stays out of service until it is released. */
    RETIRE,
    /** Reboots, probes and uncordons a worker that is out of service. */
    RELEASE,
    /** Assigns a worker that has no pool yet to its first pool. */
    ASSIGN,
    /** Drains the worker and moves it to another pool permanently. */
    MOVE,
    /** Drains the worker and lends it to another pool. */
    LOAN,
    /** Drains the worker and returns it to the pool that lent it. */
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
     * Returns whether the step takes its worker from one pool to another: a move, a loan or the return of a loan.
     *
     * @return true if the worker changes from one pool to another
     */
    public boolean shifts() {
        return this == MOVE || this == LOAN || this == RETURN;
    }
}
