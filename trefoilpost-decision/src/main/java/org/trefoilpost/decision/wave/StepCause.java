package org.trefoilpost.decision.wave;

import java.util.Locale;
import java.util.Optional;

/**
 * The reason why a step deviates from its regular sequence of phases.
 */
public enum StepCause {
    /** The step follows its regular sequence. */
    NONE,
    /** The ledger did not admit the stop in time. */
    NOT_ADMITTED,
    /** When the drain timed out, work was still in flight or an entry could not be reached. */
    DRAIN_TIMEOUT,
    /** The graceful stop did not complete in time. */
    STOP_TIMEOUT,
    /** The worker did not come back from its reboot in time. */
    REBOOT_TIMEOUT,
    /** The worker came back from its reboot but did not pass its probe in time. */
    PROBE_TIMEOUT,
    /** Failures reduced the pool below its budget, so the step was undone and will be retried. */
    UNDONE,
    /** The step was undone in its last permitted attempt. */
    UNDONE_TOO_OFTEN,
    /** The operator cancelled the plan. */
    CANCELLED,
    /** The loan that the step would return never took place. */
    LOAN_NOT_MADE;

    /**
     * Finds the cause with a code.
     *
     * @param code  the code, such as {@code drain-timeout}, not null
     * @return the cause, not null, empty if none has the code
     */
    public static Optional<StepCause> ofCode(String code) {
        for (StepCause cause : values()) {
            if (cause.code().equals(code)) {
                return Optional.of(cause);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the code of this cause in documents and counters.
     *
     * @return the code, not null
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
