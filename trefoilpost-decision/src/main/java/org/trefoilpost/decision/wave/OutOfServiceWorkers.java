package org.trefoilpost.decision.wave;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.trefoilpost.decision.plan.PlanStep;
import org.trefoilpost.decision.plan.StepKind;
import org.trefoilpost.model.WorkerId;

/**
 * Determines the workers that confirmed plans keep out of service.
 *
 * <p>A release that brought a worker back into service overrides all plans that were confirmed before the release.
 */
public final class OutOfServiceWorkers {
    private final Collection<WaveState> plans;
    private final Map<WorkerId, Long> releaseConfirmedMillis;

    private OutOfServiceWorkers(Collection<WaveState> plans, Map<WorkerId, Long> releaseConfirmedMillis) {
        this.plans = plans;
        this.releaseConfirmedMillis = releaseConfirmedMillis;
    }

    /**
     * Obtains the workers that any of the plans keeps out of service.
     *
     * @param plans  the states of all confirmed plans, not null
     * @return the workers, not null
     */
    public static OutOfServiceWorkers of(Collection<WaveState> plans) {
        Map<WorkerId, Long> releaseConfirmedMillis = new HashMap<>();
        for (WaveState plan : plans) {
            plan.plan()
                    .steps()
                    .filter(step -> isBackInService(step, plan.state(step)))
                    .forEach(step -> releaseConfirmedMillis.merge(step.worker(), plan.confirmedMillis(), Math::max));
        }
        return new OutOfServiceWorkers(plans, releaseConfirmedMillis);
    }

    /**
     * Returns the workers that at least one plan keeps from taking work.
     *
     * @return the workers, sorted, not null, may be empty
     */
    public Set<WorkerId> workers() {
        Set<WorkerId> workers = new TreeSet<>();
        for (WaveState plan : plans) {
            plan.unavailableWorkers().stream()
                    .filter(worker -> !isReleasedByLaterPlan(plan, worker))
                    .forEach(workers::add);
        }
        return workers;
    }

    /**
     * Returns whether a plan still keeps a worker out of service.
     *
     * @param plan  the plan's state, not null
     * @param worker  the worker, not null
     * @return true if the plan cordons the worker and no later plan released it
     */
    public boolean keepsOutOfService(WaveState plan, WorkerId worker) {
        return plan.cordonedWorkers().contains(worker) && !isReleasedByLaterPlan(plan, worker);
    }

    /**
     * Returns whether a plan that was confirmed later brought a worker back into service.
     *
     * @param plan  the state of the earlier plan, not null
     * @param worker  the worker, not null
     * @return true if a later plan released the worker
     */
    public boolean isReleasedByLaterPlan(WaveState plan, WorkerId worker) {
        return plan.confirmedMillis() < releaseConfirmedMillis.getOrDefault(worker, Long.MIN_VALUE);
    }

    private static boolean isBackInService(PlanStep step, PlanStepState state) {
        boolean probePassed = state.phase() == StepPhase.UNCORDON
                || state.phase() == StepPhase.RELEASE
                || state.phase() == StepPhase.DONE;
        return step.kind() == StepKind.RELEASE && probePassed && state.cause() == StepCause.NONE;
    }
}
