package org.trefoilpost.decision.wave;

import java.util.Objects;

/**
 * The external act of a step's phase is done.
 *
 * <p>Late and repeated reports are recognised by the attempt and the phase.
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
     * @param attempt  the attempt of the step that the act belongs to
     * @param phase  the phase whose act is done, not null
     * @param observed  the incarnation of the worker as seen, or the version of the rack's inventory after a shift
     * @return the event, not null
     */
    public static PhaseCompleted of(int step, int attempt, StepPhase phase, long observed) {
        return new PhaseCompleted(step, attempt, phase, observed);
    }

    /**
     * Returns the number of the step.
     *
     * @return the number of the step
     */
    public int step() {
        return step;
    }

    /**
     * Returns the attempt of the step that the act belongs to.
     *
     * @return the attempt of the step that the act belongs to
     */
    public int attempt() {
        return attempt;
    }

    /**
     * Returns the phase whose act is done.
     *
     * @return the phase whose act is done, not null
     */
    public StepPhase phase() {
        return phase;
    }

    /**
     * Returns the incarnation of the worker as seen, or the version of the rack's inventory after a shift.
     *
     * @return the incarnation of the worker as seen
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
        return "StepCompleted" + " " + step + " " + attempt + " " + phase + " " + observed;
    }
}
