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
 * Holds the cordons that an entry has received. Not thread-safe.
 *
 * <p>Cordons and uncordons of a step may arrive late, more than once or out of order. They are ordered by the attempt of
 * the step, and within an attempt the uncordon supersedes the cordon. A late cordon therefore never takes a worker out of
 * service again after its uncordon.
 */
public final class CordonRegister {
    private final Map<StepKey, CordonChange> latestChanges = new HashMap<>();

    /**
     * Constructs a register without cordons.
     */
    public CordonRegister() {}

    /**
     * Adds the cordons and uncordons that follow from the recorded state of a plan.
     *
     * <p>A starting entry loads all plans before it sends work to a worker. It then also knows which cordons have ended,
     * so a late message about one of them has no effect.
     *
     * @param state  the plan's state, not null
     */
    public void load(WaveState state) {
        Set<WorkerId> cordoned = state.cordonedWorkers();
        for (PlanStep step : state.plan().steps().toList()) {
            PlanStepState present = state.state(step);
            StepKey key = new StepKey(state.plan().digest(), step.number());
            boolean cordonBegun = present.phase().compareTo(StepPhase.CORDON) >= 0;
            int attempt = cordonBegun ? present.attempt() : present.attempt() - 1;
            record(key, new CordonChange(step.worker(), attempt, cordonBegun && cordoned.contains(step.worker())));
        }
    }

    /**
     * Records a cordon, unless a later change of the same step is recorded already.
     *
     * @param plan  the digest of the plan, not null
     * @param step  the number of the step
     * @param attempt  the attempt of the step, counted from 1
     * @param worker  the worker, not null
     */
    public void cordon(PlanDigest plan, int step, int attempt, WorkerId worker) {
        record(new StepKey(plan, step), new CordonChange(worker, attempt, true));
    }

    /**
     * Records an uncordon, unless a later change of the same step is recorded already.
     *
     * @param plan  the digest of the plan, not null
     * @param step  the number of the step
     * @param attempt  the attempt of the step, counted from 1
     * @param worker  the worker, not null
     */
    public void uncordon(PlanDigest plan, int step, int attempt, WorkerId worker) {
        record(new StepKey(plan, step), new CordonChange(worker, attempt, false));
    }

    /**
     * Removes all records of a plan.
     *
     * <p>The plan must have ended and have left no worker out of service.
     *
     * @param plan  the digest of the plan, not null
     */
    public void removePlan(PlanDigest plan) {
        latestChanges.keySet().removeIf(key -> key.plan.equals(plan));
    }

    /**
     * Returns whether a worker is cordoned and gets no new work.
     *
     * @param worker  the worker, not null
     * @return true if any step keeps it cordoned
     */
    public boolean cordoned(WorkerId worker) {
        return latestChanges.values().stream().anyMatch(change -> change.cordoned && change.worker.equals(worker));
    }

    /**
     * Returns the latest attempt of a step whose cordon is in force at this entry.
     *
     * @param plan  the digest of the plan, not null
     * @param step  the number of the step
     * @return the attempt, counted from 1, or 0 if no cordon of the step is in force
     */
    public int acknowledgedAttempt(PlanDigest plan, int step) {
        CordonChange change = latestChanges.get(new StepKey(plan, step));
        return change != null && change.cordoned ? change.attempt : 0;
    }

    /**
     * Returns the cordoned workers, which get no new work.
     *
     * @return the workers, sorted, not null, may be empty
     */
    public Set<WorkerId> cordonedWorkers() {
        Set<WorkerId> workers = new TreeSet<>();
        latestChanges.values().stream().filter(change -> change.cordoned).forEach(change -> workers.add(change.worker));
        return workers;
    }

    private void record(StepKey key, CordonChange change) {
        CordonChange present = latestChanges.get(key);
        if (present == null || change.supersedes(present)) {
            latestChanges.put(key, change);
        }
    }

    /**
     * Identifies a step of a plan.
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
     * A cordon or an uncordon of a step.
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
