package org.trefoilpost.decision.wave;

import java.util.Objects;
import org.trefoilpost.decision.plan.PlanStep;

/**
 * Does the external act of a step's recorded phase; each act is idempotent.
 */
public final class StepAction implements WaveAction {
    private final PlanStep step;
    private final StepPhase phase;
    private final int attempt;
    private final long incarnation;
    private final long rackVersion;

    private StepAction(PlanStep step, StepPhase phase, int attempt, long incarnation, long rackVersion) {
        this.step = Objects.requireNonNull(step, "step");
        this.phase = Objects.requireNonNull(phase, "phase");
        this.attempt = attempt;
        this.incarnation = incarnation;
        this.rackVersion = rackVersion;
    }

    /**
     * Obtains the action.
     *
     * @param step  the step, not null
     * @param phase  the recorded phase, whose act is due, not null
     * @param attempt  the attempt of the step
     * @param incarnation  the incarnation of the worker that may be stopped and rebooted, 0 if none is recorded
     * @param rackVersion  the version of the rack's inventory after the shift, 0 before it
     * @return the action, not null
     */
    public static StepAction of(PlanStep step, StepPhase phase, int attempt, long incarnation, long rackVersion) {
        return new StepAction(step, phase, attempt, incarnation, rackVersion);
    }

    /**
     * Returns the step.
     *
     * @return the step, not null
     */
    public PlanStep step() {
        return step;
    }

    /**
     * Returns the recorded phase, whose act is due.
     *
     * @return the recorded phase, not null
     */
    public StepPhase phase() {
        return phase;
    }

    /**
     * Returns the attempt of the step.
     *
     * @return the attempt of the step
     */
    public int attempt() {
        return attempt;
    }

    /**
     * Returns the incarnation of the worker that may be stopped and rebooted, 0 if none is recorded.
     *
     * @return the incarnation of the worker that may be stopped and rebooted
     */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Returns the version of the rack's inventory after the shift.
     *
     * @return the version, 0 before the shift
     */
    public long rackVersion() {
        return rackVersion;
    }

    /**
     * Returns the type and the fields.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "StepAct" + " " + step + " " + phase + " " + attempt + " " + incarnation;
    }
}
