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
    private final Map<Key, Mark> marks = new HashMap<>();

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
            StepState present = state.state(step);
            Key key = new Key(state.plan().digest(), step.number());
            boolean begun = present.phase().compareTo(StepPhase.CORDON) >= 0;
            int attempt = begun ? present.attempt() : present.attempt() - 1;
            mark(key, new Mark(step.worker(), attempt, begun && cordoned.contains(step.worker())));
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
        mark(new Key(plan, step), new Mark(worker, attempt, true));
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
        mark(new Key(plan, step), new Mark(worker, attempt, false));
    }

    /**
     * Forgets an ended plan that left no worker out of service.
     *
     * @param plan  the digest of the plan, not null
     */
    public void forget(PlanDigest plan) {
        marks.keySet().removeIf(key -> key.plan.equals(plan));
    }

    /**
     * Returns whether a worker gets no new work.
     *
     * @param worker  the worker, not null
     * @return true if any step keeps it cordoned
     */
    public boolean cordoned(WorkerId worker) {
        return marks.values().stream().anyMatch(mark -> mark.cordoned && mark.worker.equals(worker));
    }

    /**
     * Returns the newest attempt of a step whose cordon this entry acknowledges.
     *
     * @param plan  the digest of the plan, not null
     * @param step  the number of the step
     * @return the attempt, 0 if none is in force
     */
    public int acknowledged(PlanDigest plan, int step) {
        Mark mark = marks.get(new Key(plan, step));
        return mark != null && mark.cordoned ? mark.attempt : 0;
    }

    /**
     * Returns the workers that get no new work.
     *
     * @return the workers, not null
     */
    public Set<WorkerId> workers() {
        Set<WorkerId> workers = new TreeSet<>();
        marks.values().stream().filter(mark -> mark.cordoned).forEach(mark -> workers.add(mark.worker));
        return workers;
    }

    private void mark(Key key, Mark mark) {
        Mark present = marks.get(key);
        if (present == null || mark.follows(present)) {
            marks.put(key, mark);
        }
    }

    /**
     * A step of a plan.
     */
    private static final class Key {
        private final PlanDigest plan;
        private final int step;

        private Key(PlanDigest plan, int step) {
            this.plan = Objects.requireNonNull(plan, "plan");
            this.step = step;
        }

        @Override
        public boolean equals(Object object) {
            return object instanceof Key other && other.step == step && other.plan.equals(plan);
        }

        @Override
        public int hashCode() {
            return Objects.hash(plan, step);
        }
    }

    /**
     * The newest cordon or uncordon of a step.
     */
    private static final class Mark {
        private final WorkerId worker;
        private final int attempt;
        private final boolean cordoned;

        private Mark(WorkerId worker, int attempt, boolean cordoned) {
            this.worker = Objects.requireNonNull(worker, "worker");
            this.attempt = attempt;
            this.cordoned = cordoned;
        }

        private boolean follows(Mark present) {
            return attempt > present.attempt || attempt == present.attempt && present.cordoned && !cordoned;
        }
    }
}
