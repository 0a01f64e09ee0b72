package org.trefoilpost.decision.event;

import java.util.Locale;
import java.util.Optional;

/**
 * Kind of an event of the fleet.
 */
public enum FleetEventKind {
    /** An operator confirmed a plan. */
    PLAN_CONFIRMED,
    /** All steps of a plan have ended. */
    PLAN_ENDED,
    /** An operator cancelled a plan. */
    PLAN_CANCELLED,
    /** A step of a plan completed. */
    STEP_DONE,
    /** A step of a plan was cancelled before it had a permanent effect. */
    STEP_CANCELLED,
    /** A running step was undone because a failure took the pool below its availability budget. */
    STEP_UNDONE,
    /** A step was abandoned and its worker reported; the plan continues without it. */
    SET_ASIDE,
    /** A planned stop, a move or a repair was refused. */
    REFUSED,
    /** A repair plan was offered to the operators. */
    REPAIR_OFFERED,
    /** A repair plan was started under a standing consent. */
    REPAIR_STARTED,
    /** An operator overrode a decision. */
    OVERRIDE;

    /**
     * Finds the kind with a code.
     *
     * @param code  the code, such as {@code set-aside}, not null
     * @return the kind, not null, empty if none has the code
     */
    public static Optional<FleetEventKind> ofCode(String code) {
        for (FleetEventKind kind : values()) {
            if (kind.code().equals(code)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the code of this kind in stored documents and metrics.
     *
     * @return the code, not null
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
