package org.trefoilpost.decision.wave;

import java.util.Objects;

/**
 * The recorded state of a step.
 */
public final class PlanStepState {
    /** The state of a step that waits for the batches before it. */
    public static final PlanStepState PENDING = new PlanStepState(StepPhase.PENDING, 0, 1, 0, 0, StepCause.NONE);

    private final StepPhase phase;
    private final long sinceMillis;
    private final int attempt;
    private final long incarnation;
    private final long rackVersion;
    private final StepCause cause;

    private PlanStepState(
            StepPhase phase, long sinceMillis, int attempt, long incarnation, long rackVersion, StepCause cause) {
        this.phase = Objects.requireNonNull(phase, "phase");
        this.sinceMillis = sinceMillis;
        this.attempt = attempt;
        this.incarnation = incarnation;
        this.rackVersion = rackVersion;
        this.cause = Objects.requireNonNull(cause, "cause");
    }

    static PlanStepState decoded(
            StepPhase phase, long sinceMillis, int attempt, long incarnation, long rackVersion, StepCause cause) {
        return new PlanStepState(phase, sinceMillis, attempt, incarnation, rackVersion, cause);
    }

    /**
     * Returns the phase.
     *
     * @return the phase, not null
     */
    public StepPhase phase() {
        return phase;
    }

    /**
     * Returns when the phase began; for a drain, when the worker was cordoned.
     *
     * @return the time in milliseconds since the Unix epoch
     */
    public long sinceMillis() {
        return sinceMillis;
    }

    /**
     * Returns which attempt of the step this is, counted from 1; it is the epoch of the planned stop in the ledger.
     *
     * @return the attempt
     */
    public int attempt() {
        return attempt;
    }

    /**
     * Returns the incarnation of the worker that is stopped.
     *
     * @return the incarnation, 0 before the stop
     */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Returns the version of the rack's inventory that shows the worker in its new pool.
     *
     * @return the version, 0 before the shift
     */
    public long rackVersion() {
        return rackVersion;
    }

    /**
     * Returns why the step takes another way than to its plain end.
     *
     * @return the cause, not null
     */
    public StepCause cause() {
        return cause;
    }

    /**
     * Returns whether the ledger keeps the planned stop after the step's end: the worker is out of service.
     *
     * @return true if it does
     */
    public boolean keepsPlannedStop() {
        return phase == StepPhase.SET_ASIDE
                && (cause == StepCause.STOP_TIMEOUT
                        || cause == StepCause.REBOOT_TIMEOUT
                        || cause == StepCause.PROBE_TIMEOUT);
    }

    PlanStepState withPhase(StepPhase newPhase, long nowMillis) {
        boolean sameDrain = phase.undoable() && newPhase.undoable();
        return new PlanStepState(
                newPhase, sameDrain ? sinceMillis : nowMillis, attempt, incarnation, rackVersion, cause);
    }

    PlanStepState withCause(StepCause newCause) {
        return new PlanStepState(phase, sinceMillis, attempt, incarnation, rackVersion, newCause);
    }

    PlanStepState withIncarnation(long newIncarnation) {
        return new PlanStepState(phase, sinceMillis, attempt, newIncarnation, rackVersion, cause);
    }

    PlanStepState withRackVersion(long newRackVersion) {
        return new PlanStepState(phase, sinceMillis, attempt, incarnation, newRackVersion, cause);
    }

    PlanStepState nextAttempt(long nowMillis) {
        return new PlanStepState(StepPhase.ADMIT, nowMillis, attempt + 1, 0, 0, StepCause.NONE);
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof PlanStepState other
                && other.phase == phase
                && other.sinceMillis == sinceMillis
                && other.attempt == attempt
                && other.incarnation == incarnation
                && other.rackVersion == rackVersion
                && other.cause == cause;
    }

    @Override
    public int hashCode() {
        return Objects.hash(phase, sinceMillis, attempt, incarnation, rackVersion, cause);
    }

    /**
     * Returns the phase, attempt and cause.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return phase.code() + "/" + attempt + (cause == StepCause.NONE ? "" : " " + cause.code());
    }
}
