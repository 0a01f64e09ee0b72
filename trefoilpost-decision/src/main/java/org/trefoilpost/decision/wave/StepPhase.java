package org.trefoilpost.decision.wave;

import java.util.Locale;
import java.util.Optional;

/**
 * How far a step is.
 *
 * <p>A phase is recorded in the plan's document before its external act is done.
 */
public enum StepPhase {
    /** The step waits for the batches before it. */
    PENDING,
    /** The pool's ledger is asked to admit the stop. */
    ADMIT,
    /** The entries are told to give the worker no new work. */
    CORDON,
    /** The jobs of the worker are checkpointed and end there. */
    CHECKPOINT,
    /** The last work in flight ends; every entry is asked. */
    DRAIN,
    /** The worker stops gracefully; from here on the step is never undone. */
    STOP,
    /** The stopped worker reboots. */
    REBOOT,
    /** The worker is asked whether it takes work again. */
    PROBE,
    /** The inventory is changed to the worker's new pool; from here on the step is never undone. */
    SHIFT,
    /** The entries are told that the worker takes work again. */
    UNCORDON,
    /** The planned stop is taken out of the ledger. */
    RELEASE,
    /** The step reached its end. */
    DONE,
    /** The step was cancelled or not needed, and its worker is in service. */
    CANCELLED,
    /** The step was given up and its worker is reported. */
    SET_ASIDE;

    /**
     * Finds the phase with a code.
     *
     * @param code  the code, such as {@code drain}, not null
     * @return the phase, not null, empty if none has the code
     */
    public static Optional<StepPhase> ofCode(String code) {
        for (StepPhase phase : values()) {
            if (phase.code().equals(code)) {
                return Optional.of(phase);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the code of this phase in documents.
     *
     * @return the code, not null
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Returns whether the step has ended.
     *
     * @return true if it has
     */
    public boolean ended() {
        return this == DONE || this == CANCELLED || this == SET_ASIDE;
    }

    /**
     * Returns whether the worker is cordoned but nothing has been done yet that can't be undone.
     *
     * @return true if an uncordon undoes the step
     */
    public boolean undoable() {
        return this == CORDON || this == CHECKPOINT || this == DRAIN;
    }

    /**
     * Returns whether the worker gets no new work in this phase.
     *
     * @return true if the entries keep the worker cordoned
     */
    public boolean cordoned() {
        return compareTo(CORDON) >= 0 && compareTo(UNCORDON) < 0;
    }
}
