package org.trefoilpost.decision.plan;

import java.util.Locale;
import java.util.Optional;

/**
 * The reasons why a plan leaves out a requested change.
 */
public enum PlanRefusalReason {
    /** The step would break the pool's budget, and no pool could lend enough workers. */
    BUDGET,
    /** The worker, rack, data centre or pool is unknown. */
    UNKNOWN,
    /** The worker has no pool yet. */
    UNASSIGNED,
    /** The worker can't take work, so it is repaired rather than maintained. */
    FAILED,
    /** Another plan has a planned stop of the worker under way. */
    HELD_BY_ANOTHER_PLAN,
    /** The fleet is already in the requested state, or the intent needs no steps. */
    NOTHING_TO_DO,
    /** The plan would have more than {@link Plan#MAX_STEPS} steps. */
    TOO_LARGE;

    /**
     * Finds the reason with a code.
     *
     * @param code  the code, such as {@code budget}, not null
     * @return the reason, not null, empty if none has the code
     */
    public static Optional<PlanRefusalReason> ofCode(String code) {
        for (PlanRefusalReason reason : values()) {
            if (reason.code().equals(code)) {
                return Optional.of(reason);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the code of this reason in documents and counters.
     *
     * @return the code, not null
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
