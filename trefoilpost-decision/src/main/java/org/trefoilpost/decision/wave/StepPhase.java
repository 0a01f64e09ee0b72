package org.trefoilpost.decision.wave;

import java.util.Locale;
import java.util.Optional;

/**
 * The phase that a step has reached.
 *
 * <p>A phase is recorded in the plan's document before its external action is carried out.
 */
public enum StepPhase {
    /** The step waits until all earlier batches have ended. */
    PENDING,
    /** The pool's ledger is asked to admit the stop. */
    ADMIT,
    /** The entries are told to give the worker no new work. */
    CORDON,
    /** The worker's jobs are checkpointed and end on it. */
    CHECKPOINT,
    /** The work in flight ends; every entry is asked for its count. */
    DRAIN,
    /** The worker stops gracefully. From this phase on the step is never undone. */
    STOP,
    /** The stopped worker reboots. */
    REBOOT,
    /** The worker is probed until it is ready to take work. */
    PROBE,
    /** The inventory is changed to the worker's new pool. From this phase on the step is never undone. */
    SHIFT,
    /** The entries are told that the worker takes work again. */
    UNCORDON,
    /** The planned stop is removed from the ledger. */
    RELEASE,
    /** The step has succeeded. */
    DONE,
    /** The step was cancelled or not needed; its worker is in service. */
    CANCELLED,
    /** The step was given up and its worker is reported to the operators. */
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
     * @return true in the phases done, cancelled and set aside
     */
    public boolean ended() {
        return this == DONE || this == CANCELLED || this == SET_ASIDE;
    }

    /**
     * Returns whether the step can be undone: its worker is cordoned, but is neither stopped nor moved yet.
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
