package org.trefoilpost.decision.wave;

import java.util.Objects;

/**
 * Reports that the external action of a step's phase has completed.
 *
 * <p>A late or repeated report is recognised by its attempt and phase, and ignored.
 */
public final class PhaseCompleted implements WaveEvent {
    private final int step;
    private final int attempt;
    private final StepPhase phase;
    private final long observed;

    private PhaseCompleted(int step, int attempt, StepPhase phase, long observed) {
        this.step = step;
        this.attempt = attempt;
        this.phase = Objects.requireNonNull(phase, "phase");
        this.observed = observed;
    }

    /**
     * Obtains the event.
     *
     * @param step  the number of the step
     * @param attempt  the attempt of the step that the action belongs to, counted from 1
     * @param phase  the phase whose action has completed, not null
     * @param observed  the observed incarnation of the worker, or the version of the rack's inventory after the shift phase;
     *     0 if the phase needs neither
     * @return the event, not null
     */
    public static PhaseCompleted of(int step, int attempt, StepPhase phase, long observed) {
        return new PhaseCompleted(step, attempt, phase, observed);
    }

    /**
     * Returns the number of the step.
     *
     * @return the number
     */
    public int step() {
        return step;
    }

    /**
     * Returns the attempt of the step that the action belongs to.
     *
     * @return the attempt, counted from 1
     */
    public int attempt() {
        return attempt;
    }

    /**
     * Returns the phase whose action has completed.
     *
     * @return the phase, not null
     */
    public StepPhase phase() {
        return phase;
    }

    /**
     * Returns the observed incarnation of the worker, or the version of the rack's inventory after the shift phase.
     *
     * @return the incarnation or the version, 0 if the phase needs neither
     */
    public long observed() {
        return observed;
    }

    /**
     * Returns the type and the fields.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "PhaseCompleted" + " " + step + " " + attempt + " " + phase + " " + observed;
    }
}
