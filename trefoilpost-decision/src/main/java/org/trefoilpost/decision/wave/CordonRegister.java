package org.trefoilpost.decision.wave;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import org.trefoilpost.decision.plan.PlanDigest;
import org.trefoilpost.decision.plan.PlanStep;
import org.trefoilpost.model.WorkerId;

/**
 * The cordons that an entry knows of, used by one thread.
 *
 * <p>Cordons and uncordons of a step may arrive late, twice or out of order. They are ordered by the attempt, and within
 * an attempt the uncordon is last, so a late cordon never shuts a worker out that is back in service.
 */
public final class CordonRegister {
    private final Map<StepKey, CordonChange> latestChanges = new HashMap<>();

    /**
     * Constructs a register without cordons.
     */
    public CordonRegister() {}

    /**
     * Takes note of the cordons and uncordons that a plan's state shows.
     *
     * <p>An entry that starts reads the plans before it gives work to anyone. It then also knows which cordons are over,
     * so that a late message about one of them has no effect.
     *
     * @param state  the plan's state, not null
     */
    public void load(WaveState state) {
        Set<WorkerId> cordoned = state.cordonedWorkers();
        for (PlanStep step : state.plan().steps().toList()) {
            PlanStepState present = state.state(step);
            StepKey key = new StepKey(state.plan().digest(), step.number());
            boolean begun = present.phase().compareTo(StepPhase.CORDON) >= 0;
            int attempt = begun ? present.attempt() : present.attempt() - 1;
            record(key, new CordonChange(step.worker(), attempt, begun && cordoned.contains(step.worker())));
        }
    }

    /**
     * Takes note of a cordon.
     *
     * @param plan  the digest of the plan, not null
     * @param step  the number of the step
     * @param attempt  the attempt of the step
     * @param worker  the worker, not null
     */
    public void cordon(PlanDigest plan, int step, int attempt, WorkerId worker) {
        record(new StepKey(plan, step), new CordonChange(worker, attempt, true));
    }

    /**
     * Takes note of an uncordon.
     *
     * @param plan  the digest of the plan, not null
     * @param step  the number of the step
     * @param attempt  the attempt of the step
     * @param worker  the worker, not null
     */
    public void uncordon(PlanDigest plan, int step, int attempt, WorkerId worker) {
        record(new StepKey(plan, step), new CordonChange(worker, attempt, false));
    }

    /**
     * Forgets an ended plan that left no worker out of service.
     *
     * @param plan  the digest of the plan, not null
     */
    public void removePlan(PlanDigest plan) {
        latestChanges.keySet().removeIf(key -> key.plan.equals(plan));
    }

    /**
     * Returns whether a worker gets no new work.
     *
     * @param worker  the worker, not null
     * @return true if any step keeps it cordoned
     */
    public boolean cordoned(WorkerId worker) {
        return latestChanges.values().stream().anyMatch(mark -> mark.cordoned && mark.worker.equals(worker));
    }

    /**
     * Returns the newest attempt of a step whose cordon this entry acknowledges.
     *
     * @param plan  the digest of the plan, not null
     * @param step  the number of the step
     * @return the attempt, 0 if none is in force
     */
    public int acknowledgedAttempt(PlanDigest plan, int step) {
        CordonChange mark = latestChanges.get(new StepKey(plan, step));
        return mark != null && mark.cordoned ? mark.attempt : 0;
    }

    /**
     * Returns the workers that get no new work.
     *
     * @return the workers, not null
     */
    public Set<WorkerId> cordonedWorkers() {
        Set<WorkerId> workers = new TreeSet<>();
        latestChanges.values().stream().filter(mark -> mark.cordoned).forEach(mark -> workers.add(mark.worker));
        return workers;
    }

    private void record(StepKey key, CordonChange mark) {
        CordonChange present = latestChanges.get(key);
        if (present == null || mark.supersedes(present)) {
            latestChanges.put(key, mark);
        }
    }

    /**
     * A step of a plan.
     */
    private static final class StepKey {
        private final PlanDigest plan;
        private final int step;

        private StepKey(PlanDigest plan, int step) {
            this.plan = Objects.requireNonNull(plan, "plan");
            this.step = step;
        }

        @Override
        public boolean equals(Object object) {
            return object instanceof StepKey other && other.step == step && other.plan.equals(plan);
        }

        @Override
        public int hashCode() {
            return Objects.hash(plan, step);
        }
    }

    /**
     * The newest cordon or uncordon of a step.
     */
    private static final class CordonChange {
        private final WorkerId worker;
        private final int attempt;
        private final boolean cordoned;

        private CordonChange(WorkerId worker, int attempt, boolean cordoned) {
            this.worker = Objects.requireNonNull(worker, "worker");
            this.attempt = attempt;
            this.cordoned = cordoned;
        }

        private boolean supersedes(CordonChange present) {
            return attempt > present.attempt || attempt == present.attempt && present.cordoned && !cordoned;
        }
    }
}
