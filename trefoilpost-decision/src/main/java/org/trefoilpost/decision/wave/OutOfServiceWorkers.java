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
 * The workers that plans keep out of service. A release that brought a worker back ends what the plans confirmed before
 * it hold of the worker.
 */
public final class OutOfServiceWorkers {
    private final Collection<WaveState> plans;
    private final Map<WorkerId, Long> releaseConfirmedMillis;

    private OutOfServiceWorkers(Collection<WaveState> plans, Map<WorkerId, Long> releasedMillis) {
        this.plans = plans;
        this.releaseConfirmedMillis = releasedMillis;
    }

    /**
     * Obtains the workers that some plans keep out of service.
     *
     * @param plans  the states of all confirmed plans, not null
     * @return the workers, not null
     */
    public static OutOfServiceWorkers of(Collection<WaveState> plans) {
        Map<WorkerId, Long> released = new HashMap<>();
        for (WaveState plan : plans) {
            plan.plan()
                    .steps()
                    .filter(step -> isBackInService(step, plan.state(step)))
                    .forEach(step -> released.merge(step.worker(), plan.confirmedMillis(), Math::max));
        }
        return new OutOfServiceWorkers(plans, released);
    }

    /**
     * Returns the workers that no plan lets serve.
     *
     * @return the workers, not null
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
     * Returns whether a plan still holds a worker out of service.
     *
     * @param plan  the plan's state, not null
     * @param worker  the worker, not null
     * @return true if the plan cordons the worker and no later release brought it back
     */
    public boolean keepsOutOfService(WaveState plan, WorkerId worker) {
        return plan.cordonedWorkers().contains(worker) && !isReleasedByLaterPlan(plan, worker);
    }

    /**
     * Returns whether a plan confirmed later than another brought a worker back.
     *
     * @param plan  the state of the earlier plan, not null
     * @param worker  the worker, not null
     * @return true if it did
     */
    public boolean isReleasedByLaterPlan(WaveState plan, WorkerId worker) {
        return plan.confirmedMillis() < releaseConfirmedMillis.getOrDefault(worker, Long.MIN_VALUE);
    }

    private static boolean isBackInService(PlanStep step, PlanStepState state) {
        boolean probed = state.phase() == StepPhase.UNCORDON
                || state.phase() == StepPhase.RELEASE
                || state.phase() == StepPhase.DONE;
        return step.kind() == StepKind.RELEASE && probed && state.cause() == StepCause.NONE;
    }
}
