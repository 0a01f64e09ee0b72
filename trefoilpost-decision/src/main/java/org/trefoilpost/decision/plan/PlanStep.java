package org.trefoilpost.decision.plan;

import java.util.Objects;
import java.util.Optional;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.WorkerId;

/**
 * A step of a plan: one operation on one worker.
 */
public final class PlanStep {
    private final int number;
    private final StepKind kind;
    private final WorkerId worker;
    private final PoolName pool;
    private final Optional<PoolName> target;

    private PlanStep(int number, StepKind kind, WorkerId worker, PoolName pool, Optional<PoolName> target) {
        this.number = number;
        this.kind = Objects.requireNonNull(kind, "kind");
        this.worker = Objects.requireNonNull(worker, "worker");
        this.pool = Objects.requireNonNull(pool, "pool");
        this.target = target;
    }

    /**
     * Obtains a step that leaves the worker in its pool.
     *
     * @param number  the number, unique in the plan
     * @param kind  the kind, not null
     * @param worker  the worker, not null
     * @param pool  the worker's pool, or for an assignment the pool that the worker joins, not null
     * @return the step, not null
     * @throws IllegalArgumentException if the kind shifts the worker
     */
    public static PlanStep of(int number, StepKind kind, WorkerId worker, PoolName pool) {
        if (kind.shifts()) {
            throw new IllegalArgumentException("a step of kind " + kind.code() + " needs a target pool");
        }
        return new PlanStep(number, kind, worker, pool, Optional.empty());
    }

    /**
     * Obtains a step that shifts the worker to another pool.
     *
     * @param number  the number, unique in the plan
     * @param kind  the kind, not null
     * @param worker  the worker, not null
     * @param pool  the pool that the worker leaves, not null
     * @param target  the pool that the worker joins, not null
     * @return the step, not null
     * @throws IllegalArgumentException if the kind doesn't shift the worker or the pools are the same
     */
    public static PlanStep shift(int number, StepKind kind, WorkerId worker, PoolName pool, PoolName target) {
        if (!kind.shifts() || pool.equals(target)) {
            throw new IllegalArgumentException(
                    "a step of kind " + kind.code() + " can't shift " + worker + " from " + pool + " to " + target);
        }
        return new PlanStep(number, kind, worker, pool, Optional.of(target));
    }

    /**
     * Returns the number.
     *
     * @return the number, unique in the plan
     */
    public int number() {
        return number;
    }

    /**
     * Returns the kind.
     *
     * @return the kind, not null
     */
    public StepKind kind() {
        return kind;
    }

    /**
     * Returns the worker.
     *
     * @return the worker, not null
     */
    public WorkerId worker() {
        return worker;
    }

    /**
     * Returns the pool whose ledger the step uses: the worker's pool when the step starts, or for an assignment the
     * pool that the worker joins.
     *
     * @return the pool, not null
     */
    public PoolName pool() {
        return pool;
    }

    /**
     * Returns the pool that the worker is shifted to.
     *
     * @return the pool, not null, empty unless the step shifts the worker to another pool
     */
    public Optional<PoolName> target() {
        return target;
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof PlanStep other
                && other.number == number
                && other.kind == kind
                && other.worker.equals(worker)
                && other.pool.equals(pool)
                && other.target.equals(target);
    }

    @Override
    public int hashCode() {
        return Objects.hash(number, kind, worker, pool, target);
    }

    /**
     * Returns the number, kind, worker and pools.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return number + ": " + kind.code() + " " + worker + " of " + pool
                + target.map(name -> " to " + name).orElse("");
    }
}
