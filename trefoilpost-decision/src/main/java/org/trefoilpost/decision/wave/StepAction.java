package org.trefoilpost.decision.wave;

import java.util.Objects;
import org.trefoilpost.decision.plan.PlanStep;

/**
 * Requests the external action of a step's recorded phase. All actions are idempotent.
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
     * @param phase  the recorded phase, whose action is due, not null
     * @param attempt  the attempt of the step, counted from 1
     * @param incarnation  the incarnation of the worker that may be stopped and rebooted, 0 if none is recorded
     * @param rackVersion  the version of the rack's inventory that has the worker in its new pool, 0 before the move
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
     * Returns the recorded phase, whose action is due.
     *
     * @return the phase, not null
     */
    public StepPhase phase() {
        return phase;
    }

    /**
     * Returns the attempt of the step.
     *
     * @return the attempt, counted from 1
     */
    public int attempt() {
        return attempt;
    }

    /**
     * Returns the incarnation of the worker that may be stopped and rebooted.
     *
     * @return the incarnation, 0 if none is recorded
     */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Returns the version of the rack's inventory that has the worker in its new pool.
     *
     * @return the version, 0 before the move
     */
    public long rackVersion() {
        return rackVersion;
    }

    /**
     * Returns the type, step, phase, attempt and incarnation.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "StepAction" + " " + step + " " + phase + " " + attempt + " " + incarnation;
    }
}
