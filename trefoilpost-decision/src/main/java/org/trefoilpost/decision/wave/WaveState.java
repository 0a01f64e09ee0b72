package org.trefoilpost.decision.wave;

import java.util.Collections;
import java.util.Objects;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import org.trefoilpost.decision.plan.Plan;
import org.trefoilpost.decision.plan.PlanStep;
import org.trefoilpost.decision.plan.StepKind;
import org.trefoilpost.model.WorkerId;

/**
 * A confirmed plan and the state of each of its steps, one document.
 *
 * <p>Whoever carries out the plan writes each change by a compare-and-swap before the act that it allows. A paused
 * executor that wakes fails its write and does nothing more.
 */
public final class WaveState {
    /** The newest format of the document that this version reads and writes. */
    public static final int FORMAT = 1;

    private final Plan plan;
    private final String operator;
    private final long confirmedMillis;
    private final boolean cancelled;
    private final SortedMap<Integer, PlanStepState> steps;
    private final long version;

    private WaveState(
            Plan plan,
            String operator,
            long confirmedMillis,
            boolean cancelled,
            SortedMap<Integer, PlanStepState> steps,
            long version) {
        this.plan = Objects.requireNonNull(plan, "plan");
        this.operator = Objects.requireNonNull(operator, "operator");
        this.confirmedMillis = confirmedMillis;
        this.cancelled = cancelled;
        this.steps = Collections.unmodifiableSortedMap(steps);
        this.version = version;
    }

    /**
     * Obtains the state of a plan of which nothing has been done.
     *
     * @param plan  the plan, not null
     * @param operator  the operator who confirms it, not null
     * @param nowMillis  the present time in milliseconds since the Unix epoch
     * @return the state at version 0, not null
     */
    public static WaveState of(Plan plan, String operator, long nowMillis) {
        SortedMap<Integer, PlanStepState> steps = new TreeMap<>();
        plan.steps().forEach(step -> steps.put(step.number(), PlanStepState.PENDING));
        return new WaveState(plan, operator, nowMillis, false, steps, 0);
    }

    WaveState decoded(boolean isCancelled, SortedMap<Integer, PlanStepState> states, long atVersion) {
        return new WaveState(plan, operator, confirmedMillis, isCancelled, new TreeMap<>(states), atVersion);
    }

    /**
     * Returns the plan.
     *
     * @return the plan, not null
     */
    public Plan plan() {
        return plan;
    }

    /**
     * Returns the operator who confirmed the plan.
     *
     * @return the operator, not null
     */
    public String operator() {
        return operator;
    }

    /**
     * Returns when the plan was confirmed.
     *
     * @return the time in milliseconds since the Unix epoch
     */
    public long confirmedMillis() {
        return confirmedMillis;
    }

    /**
     * Returns whether the plan was cancelled.
     *
     * @return true if it was
     */
    public boolean cancelled() {
        return cancelled;
    }

    /**
     * Returns the state of each step by its number.
     *
     * @return the states, unmodifiable, not null
     */
    public SortedMap<Integer, PlanStepState> steps() {
        return steps;
    }

    /**
     * Returns the version, which grows with each change and fences the acts of the plan.
     *
     * @return the version, not negative
     */
    public long version() {
        return version;
    }

    /**
     * Returns the state of a step.
     *
     * @param step  the step, not null
     * @return the state, not null
     */
    public PlanStepState state(PlanStep step) {
        return steps.get(step.number());
    }

    /**
     * Returns whether all steps have ended.
     *
     * @return true if they have
     */
    public boolean ended() {
        return steps.values().stream().allMatch(state -> state.phase().ended());
    }

    /**
     * Returns the workers that get no new work because of this plan: those in a phase that cordons them, and those that
     * the plan left out of service.
     *
     * @return the workers, not null
     */
    public Set<WorkerId> cordonedWorkers() {
        Set<WorkerId> workers = new TreeSet<>();
        plan.steps().filter(step -> cordoned(step, state(step))).forEach(step -> workers.add(step.worker()));
        return workers;
    }

    /**
     * Returns the workers that must not be counted as usable because of this plan: the cordoned ones, and those of which
     * not every entry knows yet that they are back.
     *
     * <p>A view of the pools reads the inventories before the plans: a worker that it finds in its new pool is then found
     * here until all entries give it work.
     *
     * @return the workers, not null
     */
    public Set<WorkerId> unavailableWorkers() {
        Set<WorkerId> workers = cordonedWorkers();
        plan.steps()
                .filter(step -> state(step).phase() == StepPhase.UNCORDON)
                .forEach(step -> workers.add(step.worker()));
        return workers;
    }

    private static boolean cordoned(PlanStep step, PlanStepState state) {
        boolean retired = step.kind() == StepKind.RETIRE && state.phase() == StepPhase.DONE;
        return state.phase().cordoned() || state.keepsPlannedStop() || retired;
    }

    WaveState withSteps(SortedMap<Integer, PlanStepState> newSteps, boolean newCancelled) {
        return new WaveState(plan, operator, confirmedMillis, newCancelled, newSteps, version + 1);
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof WaveState other
                && other.plan.equals(plan)
                && other.operator.equals(operator)
                && other.confirmedMillis == confirmedMillis
                && other.cancelled == cancelled
                && other.steps.equals(steps)
                && other.version == version;
    }

    @Override
    public int hashCode() {
        return Objects.hash(plan, version, steps);
    }

    /**
     * Returns the digest, version and states.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return plan.digest() + "@" + version + " " + steps;
    }
}
