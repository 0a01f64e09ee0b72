package org.trefoilpost.decision.wave;

import java.util.Locale;
import java.util.Optional;

/**
 * Why a step takes another way than to its plain end.
 */
public enum StepCause {
    /** Nothing speaks against the plain end. */
    NONE,
    /** The ledger did not admit the stop in time. */
    NOT_ADMITTED,
    /** Work was still in flight, or an entry could not be asked, when the time was over. */
    DRAIN_TIMEOUT,
    /** The graceful stop did not end in time. */
    STOP_TIMEOUT,
    /** The worker did not come back from its reboot in time. */
    REBOOT_TIMEOUT,
    /** The worker came back but did not pass its probe in time. */
    PROBE_TIMEOUT,
    /** A failure took the pool under its budget, so the step was undone and is tried again. */
    UNDONE,
    /** The step was undone too often. */
    UNDONE_TOO_OFTEN,
    /** The operator cancelled the plan. */
    CANCELLED,
    /** The loan that the step would return was not made. */
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
